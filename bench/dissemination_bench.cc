// One node of the dissemination measurement: joins the peer network, takes over
// records, and writes what arrived when and what it cost.
//
// Phases follow the wall clock, so that processes of one machine agree: idle,
// single records, bursts. Node 0 publishes. The process ends by itself.
#include <sys/resource.h>

#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "base/logging.h"
#include "peers/websocket_peer_network.h"

namespace kumquatcart {
namespace {

constexpr int kRecordBytes = 700;  // A change set of a few objects.
constexpr std::int64_t kIdleMs = 10000;
constexpr std::int64_t kSingles = 20;
constexpr std::int64_t kSingleIntervalMs = 1000;
constexpr std::int64_t kBursts = 3;
constexpr std::int64_t kBurstRecords = 50;
constexpr std::int64_t kBurstIntervalMs = 3000;
constexpr std::int64_t kSettleMs = 3000;

struct Options {
  std::int64_t index = 0;
  std::int64_t nodes = 1;
  std::int64_t failure_domains = 8;
  std::int64_t base_port = 21000;
  std::int64_t start_unix_ms = 0;
  bool verbose = false;
};

// Records by offset, appended by node 0 only, like the configuration stream.
class RecordTopic : public GossipTopic {
 public:
  RecordTopic(Clock* clock, std::function<void(std::int64_t)> on_applied)
      : clock(clock), on_applied(std::move(on_applied)) {}

  std::string Name() const override { return "records"; }

  Json Digest() const override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return static_cast<std::int64_t>(this->records.size());
  }

  Result<Json> DeltaFor(const Json& digest,
                        std::size_t max_bytes) const override {
    BOOST_OUTCOME_TRY(theirs, FromJson<std::size_t>(digest));
    const std::lock_guard<std::mutex> lock(this->mutex);
    Json delta = Json::array();
    std::size_t bytes = 0;
    for (std::size_t at = theirs; at < this->records.size(); ++at) {
      bytes += kRecordBytes;
      if (bytes > max_bytes) {
        break;
      }
      delta.push_back({at, this->records[at]});
    }
    return delta.empty() ? Json() : delta;
  }

  Result<bool> Merge(const Json& delta) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    bool changed = false;
    for (const Json& record : delta) {
      if (record.at(0).get<std::size_t>() == this->records.size()) {
        this->Apply(record.at(1));
        changed = true;
      }
    }
    return changed;
  }

  void Publish() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Apply(Json::array({ToUnixMillis(this->clock->WallNow()),
                             std::string(kRecordBytes, 'r')}));
  }

  void PrintDelays(std::int64_t index) const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (std::size_t offset = 0; offset < this->delays_ms.size(); ++offset) {
      fmt::print("delay,{},{},{}\n", index, offset, this->delays_ms[offset]);
    }
  }

 private:
  void Apply(const Json& record) {
    const std::int64_t now = ToUnixMillis(this->clock->WallNow());
    this->delays_ms.push_back(now - record.at(0).get<std::int64_t>());
    this->records.push_back(record);
    this->on_applied(static_cast<std::int64_t>(this->records.size()));
  }

  Clock* clock;
  std::function<void(std::int64_t)> on_applied;
  mutable std::mutex mutex;
  std::vector<Json> records;
  std::vector<std::int64_t> delays_ms;
};

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::int64_t PeakKilobytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

// Cost counters at one moment.
struct Cost {
  double cpu_seconds = 0;
  double sent = 0;
  double received = 0;
  double frames = 0;
};

class Node {
 public:
  explicit Node(const Options& options) : options(options) {
    PeerSettings settings;
    settings.listen = fmt::format("127.0.0.1:{}", this->Port(options.index));
    settings.seeds = fmt::format("127.0.0.1:{},127.0.0.1:{}", this->Port(0),
                                 this->Port(options.nodes / 2));
    NodeIdentity identity;
    identity.id =
        NodeId(Sha256Hex(fmt::format("node {}", options.index)).substr(0, 32));
    identity.vm = VmId(fmt::format("entry-{}", options.index));
    identity.failure_domain = FailureDomainId(
        fmt::format("fd-{}", options.index % options.failure_domains));
    this->network = std::make_unique<WebsocketPeerNetwork>(
        &this->clock, &this->metrics, identity, std::string(32, 'k'), settings,
        [this](const MemberTable& table) { this->CountAlive(table); });
    this->topic = std::make_shared<RecordTopic>(
        &this->clock, [this](std::int64_t offset) {
          this->network->SetOwnState(offset, true);
        });
    this->network->AddTopic(this->topic);
  }

  int Run() {
    if (!this->network->Start().has_value()) {
      return 1;
    }
    this->SleepUntil(0);
    const int joined = this->alive;
    this->Measure("idle", [this] { this->SleepUntil(kIdleMs); });
    this->Measure("single", [this] { this->PublishSingles(); });
    this->Measure("burst", [this] { this->PublishBursts(); });
    fmt::print("end,{},{},{},{}\n", this->options.index, joined,
               this->alive.load(), PeakKilobytes());
    this->topic->PrintDelays(this->options.index);
    this->network->Stop();
    return 0;
  }

 private:
  std::int64_t Port(std::int64_t index) const {
    return this->options.base_port + index;
  }

  void SleepUntil(std::int64_t ms_after_start) {
    const std::int64_t target = this->options.start_unix_ms + ms_after_start;
    const std::int64_t now = ToUnixMillis(this->clock.WallNow());
    if (target > now) {
      this->clock.SleepFor(std::chrono::milliseconds(target - now));
    }
  }

  void PublishSingles() {
    for (std::int64_t single = 0; single < kSingles; ++single) {
      this->SleepUntil(kIdleMs + single * kSingleIntervalMs);
      this->Publish(1);
    }
    this->SleepUntil(kIdleMs + kSingles * kSingleIntervalMs + kSettleMs);
  }

  void PublishBursts() {
    const std::int64_t begin =
        kIdleMs + kSingles * kSingleIntervalMs + kSettleMs;
    for (std::int64_t burst = 0; burst < kBursts; ++burst) {
      this->SleepUntil(begin + burst * kBurstIntervalMs);
      this->Publish(kBurstRecords);
    }
    this->SleepUntil(begin + kBursts * kBurstIntervalMs + kSettleMs);
  }

  void Publish(std::int64_t count) {
    if (this->options.index != 0) {
      return;
    }
    for (std::int64_t record = 0; record < count; ++record) {
      this->topic->Publish();
    }
    this->network->SchedulePush("records");
  }

  void CountAlive(const MemberTable& table) {
    int count = 0;
    for (const auto& [id, member] : table.members) {
      count += member.state == MemberState::kAlive ? 1 : 0;
    }
    this->alive = count;
  }

  Cost ReadCost() {
    Cost cost;
    cost.cpu_seconds = CpuSeconds();
    cost.sent = this->Count("kumquatcart_peer_bytes_sent_total");
    cost.received = this->Count("kumquatcart_peer_bytes_received_total");
    cost.frames = this->Count("kumquatcart_peer_frames_sent_total");
    return cost;
  }

  double Count(const std::string& name) {
    return static_cast<double>(this->metrics.GetCounter(name).Value());
  }

  template <class Work>
  void Measure(const char* phase, Work work) {
    const Cost before = this->ReadCost();
    const MonotonicTime started = this->clock.Now();
    work();
    const double seconds =
        std::chrono::duration<double>(this->clock.Now() - started).count();
    const Cost after = this->ReadCost();
    fmt::print("cost,{},{},{:.1f},{:.1f},{:.2f},{:.5f}\n", this->options.index,
               phase, (after.sent - before.sent) / seconds,
               (after.received - before.received) / seconds,
               (after.frames - before.frames) / seconds,
               (after.cpu_seconds - before.cpu_seconds) / seconds);
  }

  const Options options;
  RuntimeClock clock;
  MetricRegistry metrics;
  std::atomic<int> alive{0};
  std::shared_ptr<RecordTopic> topic;
  std::unique_ptr<WebsocketPeerNetwork> network;
};

int Main(int argc, char** argv) {
  Options options;
  CLI::App app("One node of the dissemination measurement");
  app.add_option("--index", options.index, "Number of this node, from 0");
  app.add_option("--nodes", options.nodes, "Number of nodes");
  app.add_option("--failure-domains", options.failure_domains,
                 "Number of failure domains");
  app.add_option("--base-port", options.base_port, "Port of node 0");
  app.add_option("--start-unix-ms", options.start_unix_ms,
                 "When the idle phase begins");
  app.add_flag("--verbose", options.verbose, "Log what happens to members");
  CLI11_PARSE(app, argc, argv);
  ConfigureLogging(options.verbose ? LogLevel::kInfo : LogLevel::kError,
                   LogFormat::kKeyValue);
  return Node(options).Run();
}

}  // namespace
}  // namespace kumquatcart

int main(int argc, char** argv) {
  return kumquatcart::Main(argc, argv);
}
