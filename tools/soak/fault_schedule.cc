#include "soak/fault_schedule.h"

#include <csignal>

#include <fmt/format.h>

#include "base/logging.h"
#include "base/scope_guard.h"

namespace kumquatcart::soak {

namespace {

constexpr Duration kPoll = std::chrono::milliseconds(20);
// Servers of a kind below which none is harmed for good.
constexpr std::size_t kFewestPlain = 2;
constexpr std::size_t kFewestEngines = 4;

}  // namespace

FaultSchedule::FaultSchedule(SoakWorld* world,
                             std::uint64_t seed,
                             bool harms_answers)
    : world(world),
      harms_answers(harms_answers),
      generator(static_cast<std::minstd_rand::result_type>(
          (seed * 7919 + 13) % 2147483646 + 1)) {}

int FaultSchedule::Draw(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(this->generator);
}

Duration FaultSchedule::DrawTime(int low_ms, int high_ms) {
  return std::chrono::milliseconds(this->Draw(low_ms, high_ms));
}

LinkState FaultSchedule::DrawHarm(bool of_answers) {
  constexpr LinkState kHarms[] = {LinkState::kDelayed, LinkState::kRefused,
                                  LinkState::kSilent,  LinkState::kSilentBack,
                                  LinkState::kSlow,    LinkState::kSilentOpen};
  constexpr int kLast = static_cast<int>(std::size(kHarms)) - 1;
  constexpr int kLastOfOthers = 3;
  return kHarms[this->Draw(0, of_answers ? kLast : kLastOfOthers)];
}

EntryChild& FaultSchedule::DrawEntry() {
  return *this->world->entries[static_cast<std::size_t>(
      this->Draw(0, static_cast<int>(this->world->entries.size()) - 1))];
}

ServerStandIn* FaultSchedule::DrawServer() {
  const bool forms_groups = this->Draw(0, 2) > 0;
  const std::vector<ServerStandIn*> servers =
      this->world->Servers(forms_groups);
  if (servers.size() <= (forms_groups ? kFewestEngines : kFewestPlain)) {
    return nullptr;
  }
  return servers[static_cast<std::size_t>(
      this->Draw(0, static_cast<int>(servers.size()) - 1))];
}

void FaultSchedule::Note(const std::string& what) const {
  LogInfo("fault", {{"what", what}});
}

void FaultSchedule::Run(MonotonicTime end, Coroutine yield) {
  constexpr Fault kFaults[] = {
      &FaultSchedule::KillEntry, &FaultSchedule::StopEntry,
      &FaultSchedule::PauseEntry, &FaultSchedule::ReloadEntry,
      &FaultSchedule::KillAllEntries, &FaultSchedule::HarmStore,
      &FaultSchedule::HarmStoreLink, &FaultSchedule::HarmServerLink,
      &FaultSchedule::KillServer, &FaultSchedule::KillServer,
      &FaultSchedule::DrainServer, &FaultSchedule::ChangeConfig,
      // With harms of answers only, so that each of them comes often enough.
      &FaultSchedule::HarmStoreLink, &FaultSchedule::HarmStoreLink,
      &FaultSchedule::HarmStoreLink, &FaultSchedule::HarmStoreLink,
      &FaultSchedule::HarmStoreLink, &FaultSchedule::HarmStoreLink};
  constexpr int kLast = static_cast<int>(std::size(kFaults)) - 1;
  constexpr int kLastOfOthers = 11;
  EventLoop& loop = this->world->loop;
  while (loop.Now() < end) {
    const Fault fault =
        kFaults[this->Draw(0, this->harms_answers ? kLast : kLastOfOthers)];
    ++this->faults;
    ++this->in_progress;
    loop.Spawn([this, fault](Coroutine inner) {
      const ScopeGuard guard([this] { --this->in_progress; });
      (this->*fault)(inner);
    });
    loop.Sleep(this->DrawTime(150, 1500), yield);
  }
  while (this->in_progress > 0) {
    loop.Sleep(kPoll, yield);
  }
}

void FaultSchedule::KillEntry(Coroutine /*yield*/) {
  EntryChild& entry = this->DrawEntry();
  this->Note("kill " + entry.Name());
  entry.Signal(SIGKILL, true);
}

void FaultSchedule::StopEntry(Coroutine yield) {
  EntryChild& entry = this->DrawEntry();
  this->Note("stop " + entry.Name());
  entry.Signal(SIGTERM, true);
  // A second signal while it stops must change nothing.
  const int second = this->Draw(0, 1) == 0 ? SIGHUP : SIGTERM;
  this->world->loop.Sleep(this->DrawTime(50, 900), yield);
  if (entry.IsStopping()) {  // It may have been killed and started again.
    entry.Signal(second, false);
  }
}

void FaultSchedule::PauseEntry(Coroutine yield) {
  EntryChild& entry = this->DrawEntry();
  if (entry.IsStopping()) {
    return;  // Its grace goes on while it is paused.
  }
  const Duration pause = this->DrawTime(100, 1500);
  this->Note(fmt::format("pause {} for {} ms", entry.Name(), ToMillis(pause)));
  entry.Signal(SIGSTOP, false);
  this->world->loop.Sleep(pause, yield);
  entry.Signal(SIGCONT, false);
}

void FaultSchedule::ReloadEntry(Coroutine /*yield*/) {
  EntryChild& entry = this->DrawEntry();
  this->Note("reload " + entry.Name());
  entry.Signal(SIGHUP, false);
}

void FaultSchedule::KillAllEntries(Coroutine /*yield*/) {
  this->Note("kill all");
  for (const auto& entry : this->world->entries) {
    entry->Signal(SIGKILL, true);
  }
}

void FaultSchedule::HarmStore(Coroutine yield) {
  constexpr StoreFault kFaults[] = {StoreFault::kRefuses, StoreFault::kSilent,
                                    StoreFault::kLosesAnswers};
  const StoreFault fault = kFaults[this->Draw(0, 2)];
  this->Note(std::string("store ") + ToString(fault));
  this->world->store.SetFault(fault);
  this->world->loop.Sleep(this->DrawTime(300, 2500), yield);
  this->world->store.SetFault(StoreFault::kNone);
}

void FaultSchedule::HarmStoreLink(Coroutine yield) {
  EntryChild& entry = this->DrawEntry();
  const LinkState harm = this->DrawHarm(this->harms_answers);
  this->Note(fmt::format("store link of {} {}", entry.Name(), ToString(harm)));
  entry.StoreLink().SetState(harm);
  this->world->loop.Sleep(this->DrawTime(500, 4000), yield);
  entry.StoreLink().SetState(LinkState::kSound);
}

void FaultSchedule::HarmServerLink(Coroutine yield) {
  ServerStandIn* server = this->DrawServer();
  if (server == nullptr) {
    return;
  }
  const LinkState harm = this->DrawHarm(false);
  this->Note(fmt::format("link of {} {}", server->Id(), ToString(harm)));
  server->Link().SetState(harm);
  this->world->backoffs.NoteLinkChange(server->Id(), this->world->loop.Now());
  this->world->loop.Sleep(this->DrawTime(300, 3000), yield);
  if (server->IsAlive()) {
    server->Link().SetState(LinkState::kSound);
    this->world->backoffs.NoteLinkChange(server->Id(), this->world->loop.Now());
  }
}

void FaultSchedule::KillServer(Coroutine yield) {
  ServerStandIn* server = this->DrawServer();
  if (server == nullptr) {
    return;
  }
  this->Note("end of " + server->Id());
  const bool forms_groups = server->FormsGroups();
  server->Die();
  this->world->loop.Sleep(this->DrawTime(500, 2500), yield);
  this->world->AddServer(forms_groups);
}

void FaultSchedule::DrainServer(Coroutine yield) {
  ServerStandIn* server = this->DrawServer();
  if (server == nullptr) {
    return;
  }
  this->Note("drain of " + server->Id());
  this->world->AddServer(server->FormsGroups());
  this->world->loop.Sleep(this->DrawTime(100, 800), yield);
  if (server->IsAlive()) {
    server->Drain();
  }
}

void FaultSchedule::ChangeConfig(Coroutine /*yield*/) {
  const int version = this->world->ChangeConfig();
  this->Note(fmt::format("configuration {}", version));
}

}  // namespace kumquatcart::soak
