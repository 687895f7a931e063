#include "soak/entry_child.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

#include <fmt/format.h>

#include "base/json.h"
#include "base/logging.h"
#include "soak/failure_domains.h"
#include "soak/loopback.h"

namespace kumquatcart::soak {

namespace {

constexpr int kStopGraceSeconds = 6;
// Ports for the processes' own messages, the same at all of them; those of
// soaks that run at the same time differ.
constexpr int kPortsOfSoak = 6;
constexpr int kFirstPort = 21000;
constexpr int kSoaks = 1500;

int FirstPeerPort() {
  return kFirstPort + static_cast<int>(getpid()) % kSoaks * kPortsOfSoak;
}

std::string TextOf(const TcpEndpoint& endpoint) {
  return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

}  // namespace

EntryChild::EntryChild(EventLoop* loop,
                       RunLedger* ledger,
                       LimitLedger* limits,
                       BackoffLedger* backoffs,
                       PromptLedger* prompts,
                       ChildPlaces places,
                       int number,
                       const TcpEndpoint& store)
    : loop(loop),
      ledger(ledger),
      limits(limits),
      backoffs(backoffs),
      prompts(prompts),
      places(std::move(places)),
      name(fmt::format("n{}", number + 1)),
      host(fmt::format("127.0.2.{}", number + 1)),
      failure_domain(FailureDomainOf(number, this->places.failure_domains)),
      store(store) {}

EntryChild::~EntryChild() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
}

Status EntryChild::Prepare() {
  this->callers = FreeLoopbackAddress(this->loop, this->host);
  this->readiness = FreeLoopbackAddress(this->loop, this->host);
  const TcpEndpoint link = FreeLoopbackAddress(this->loop, kPlatformHost);
  this->store_link = std::make_unique<TcpProxy>(this->loop, this->store);
  BOOST_OUTCOME_TRY(this->store_link->Start(link));
  Json domains = Json::object();
  for (int i = 0; i < this->places.failure_domains; ++i) {
    domains[FailureDomainOf(i, this->places.failure_domains)] = "region";
  }
  Json limits{{"max_fds", this->places.descriptors}};
  if (this->places.memory_mb > 0) {
    limits["memory_mb"] = this->places.memory_mb;
  }
  const Json settings{
      {"node_name", this->name},
      {"ip", this->host},
      {"zone", this->failure_domain},
      {"zones", domains},
      {"listen",
       {{"front", TextOf(this->callers)}, {"ready", TextOf(this->readiness)}}},
      {"inner_ports", {FirstPeerPort(), FirstPeerPort() + kPortsOfSoak - 1}},
      {"limits", limits},
      {"bounds",
       {{"drain_ms", 2000},
        {"grace_s", kStopGraceSeconds},
        {"stall_ms", 2500},
        {"retry_budget_ratio", 0.2},
        {"retry_budget_base", 100},
        {"budget_window_s", 10}}},
      {"platform", {{"address", TextOf(link)}, {"call_bytes", 65536}}}};
  std::ofstream file(this->places.directory + "/" + this->name + ".json");
  file << settings.dump();
  return file.good() ? Ok()
                     : MakeError(ErrorCode::kUnavailable,
                                 "cannot write the settings of " + this->name);
}

void EntryChild::Launch() {
  const std::string settings =
      this->places.directory + "/" + this->name + ".json";
  const std::string log = this->places.directory + "/" + this->name + ".log";
  this->pid = fork();
  if (this->pid == 0) {
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    setenv("KUMQUATCART_SETTINGS", settings.c_str(), 1);
    execl(this->places.program.c_str(), this->places.program.c_str(), "entry",
          nullptr);
    _exit(127);
  }
  ++this->starts;
  this->ending = false;
  this->disturbed_at = this->loop->Now();
  this->ledger->NoteDisturbance(this->host, this->loop->Now());
  this->limits->NoteDisturbance(this->host, this->loop->Now());
  this->backoffs->NoteDisturbance(this->host, this->loop->Now());
  this->prompts->NoteDisturbance(this->host, this->loop->Now());
}

void EntryChild::ReachStore(bool reaches) {
  constexpr int kClosedPort = 1;
  this->store_link->SetTarget(
      reaches ? this->store : TcpEndpoint(this->store.address(), kClosedPort));
}

void EntryChild::Signal(int number, bool expects_end) {
  if (this->pid <= 0) {
    return;
  }
  if (expects_end && !this->ending) {
    this->ending = true;
    this->told_at = this->loop->Now();
  }
  if (number != SIGHUP) {
    this->disturbed_at = this->loop->Now();
    this->limits->NoteDisturbance(this->host, this->loop->Now());
    this->backoffs->NoteDisturbance(this->host, this->loop->Now());
    this->prompts->NoteDisturbance(this->host, this->loop->Now());
  }
  // Neither a reload nor a planned stop may cost a request.
  if (number != SIGHUP && number != SIGTERM) {
    this->ledger->NoteDisturbance(this->host, this->loop->Now());
  }
  kill(this->pid, number);
}

void EntryChild::Reap() {
  if (this->pid <= 0) {
    return;
  }
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) != this->pid) {
    if (this->ending && this->loop->Now() - this->told_at >
                            std::chrono::seconds(kStopGraceSeconds)) {
      this->ledger->Accuse(this->name + " did not stop within its grace");
      this->told_at = MonotonicTime::max() - std::chrono::hours(1);
      kill(this->pid, SIGKILL);
    }
    return;
  }
  this->pid = 0;
  if (!this->ending) {
    this->ledger->Accuse(
        fmt::format("{} ended by itself, status {}", this->name, status));
  }
}

}  // namespace kumquatcart::soak
