// Slots that one VM assigns for its failure domain, simulated on a paused clock
// with lost, late and repeated messages, restarts, cuts and two coordinators.
#include "entry/slot_coordinator.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "entry/permit_network.h"
#include "entry/slot_client.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 4;
constexpr int kGroups = 3;
constexpr Duration kTick = milliseconds(1);
constexpr Duration kReportInterval = milliseconds(200);
constexpr Duration kMaintenanceInterval = milliseconds(250);
constexpr Duration kPatience = milliseconds(1300);
// Latest start that meets the latency target.
constexpr Duration kStartTime = milliseconds(100);
// Time in which a late request without prospects is to be rejected.
constexpr Duration kRecheckTime = milliseconds(150);
// A lost return ends with the next report that arrives, and the slots of a dead
// VM after one and a half seconds.
constexpr Duration kRepairTime = milliseconds(2000);
// Requests hold their slots between these times.
constexpr Duration kMinHold = milliseconds(300);
constexpr Duration kMaxHold = milliseconds(900);
// Until all requests that were queued have ended and no slot is counted.
constexpr Duration kDrainTime = kPatience + kMaxHold + kRepairTime;

std::string HeadOf(int group) {
  return "head" + std::to_string(group);
}

class NoPermits : public PermitNetwork {
 public:
  explicit NoPermits(const ManualClock* clock) : clock(clock) {}
  MonotonicTime Now() const override { return this->clock->Now(); }
  void CallAfter(Duration, std::function<void()>) override {}
  NodeCounts CountNodes() const override { return NodeCounts{}; }
  std::string FindCoordinator(const std::string&) const override { return {}; }
  void Send(const std::string&, const PermitMessage&) override {}

 private:
  const ManualClock* clock;
};

class SimulatedVm;

struct World {
  explicit World(std::uint32_t seed) : random(seed) {}

  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  // Requests at each group's servers.
  std::map<std::string, int> InUse() const;
  int MostInUse() const;

  ManualClock clock;
  std::minstd_rand random;
  MetricRegistry metrics;
  std::map<std::string, std::unique_ptr<SimulatedVm>> vms;
  std::map<std::string, std::string> coordinators;  // As each VM sees it.
  double loss = 0;
  double repetition = 0;
  Duration max_delay = milliseconds(2);
  std::multimap<MonotonicTime, std::function<void()>> deliveries;
};

// One entry VM with the parts that a process has.
class SimulatedVm : public SlotNetwork {
 public:
  SimulatedVm(World* world, std::string name)
      : name(std::move(name)), world(world), permits(&world->clock) {
    this->Start();
  }

  void Start() {
    this->coordinator = nullptr;
    this->requests.clear();
    this->balancer = nullptr;
    this->load = std::make_unique<ClusterLoad>();
    this->unread = std::make_unique<ClusterLoad>();
    this->view = std::make_unique<FleetView>();
    if (!this->lacks_config) {
      this->AddGroups();
    }
    this->limiter = std::make_unique<ServerLimiter>(
        this->name, &this->permits, &this->world->metrics, 1, ColdBound{},
        ServerLimiter::Listeners{[] {}, [] {}});
    this->gate = std::make_unique<ServerGate>(&this->permits, this->load.get(),
                                              this->limiter.get(),
                                              &this->world->metrics, 1, [] {});
    const std::int64_t first_id = (++this->life) << 24;
    this->client = std::make_unique<SlotClient>(
        this->name, this, &this->world->metrics, first_id);
    this->balancer = std::make_unique<GroupLoadBalancer>(
        [this] { return this->Now(); }, this->view.get(), this->Counts(),
        this->gate.get(), this->client.get(), "zone");
    this->coordinator = std::make_unique<SlotCoordinator>(
        this->name, "zone", this, this->balancer.get(), this->Counts(),
        [] { return true; });
    this->running = true;
  }

  // The process ends. Its servers notice that at once.
  void Stop() {
    this->running = false;
    this->requests.clear();
    this->slots.clear();
  }

  MonotonicTime Now() const override { return this->world->clock.Now(); }
  std::string FindCoordinator() const override {
    return this->world->coordinators[this->name];
  }
  void Send(const std::string& node, const SlotMessage& message) override {
    const int copies = this->world->Draw() < this->world->repetition ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (this->world->Draw() < this->world->loss) {
        continue;
      }
      const auto delay = std::chrono::duration_cast<Duration>(
          this->world->max_delay * this->world->Draw());
      this->world->deliveries.emplace(
          this->Now() + delay,
          [world = this->world, node, bytes = EncodeSlotMessage(message)] {
            const auto receiver = world->vms.find(node);
            if (receiver != world->vms.end() && receiver->second->running) {
              receiver->second->Receive(DecodeSlotMessage(bytes)->value());
            }
          });
    }
  }

  void Receive(const SlotMessage& message) {
    if (std::holds_alternative<SlotAsk>(message)) {
      this->coordinator->HandleAsk(std::get<SlotAsk>(message));
    } else if (std::holds_alternative<SlotReply>(message)) {
      this->client->HandleReply(std::get<SlotReply>(message));
    } else if (std::holds_alternative<SlotReturn>(message)) {
      this->coordinator->HandleReturn(std::get<SlotReturn>(message));
    } else {
      this->coordinator->HandleReport(std::get<SlotReport>(message));
    }
  }

  // A caller's request arrives. Without a coordinator it is not served here,
  // so that the tests see only what the coordinator assigns.
  void Request() {
    SlotQuery query;
    query.service = "llm";
    query.model = "m";
    query.latest_start = this->Now() + kStartTime;
    query.wait_until = this->Now() + kPatience;
    if (this->FindCoordinator() == this->name) {
      return;
    }
    const std::int64_t id = this->client->Begin(query, [] {});
    ++(id == 0 ? this->unasked : this->asked);
    if (id != 0) {
      this->requests.emplace(id, this->Now());
    }
  }

  void Step() {
    for (auto id = this->requests.begin(); id != this->requests.end();) {
      const SlotRequestStatus status = this->client->Check(id->first);
      if (status.state == SlotRequestStatus::State::kPending) {
        ++id;
        continue;
      }
      if (status.state == SlotRequestStatus::State::kRejected) {
        this->rejection_waits.push_back(this->Now() - id->second);
        this->rejected_without_time +=
            status.retry_after >= milliseconds(100) ? 0 : 1;
      }
      if (status.state == SlotRequestStatus::State::kGranted) {
        ++this->granted;
        this->slots[id->first] = {
            status.server,
            this->Now() + kMinHold +
                std::chrono::duration_cast<Duration>((kMaxHold - kMinHold) *
                                                     this->world->Draw())};
      }
      id = this->requests.erase(id);
    }
    for (auto slot = this->slots.begin(); slot != this->slots.end();) {
      if (slot->second.second > this->Now()) {
        ++slot;
        continue;
      }
      this->client->Return(slot->first);
      slot = this->slots.erase(slot);
    }
    if (this->Now() >= this->next_report) {
      this->next_report = this->Now() + kReportInterval;
      this->client->Report();
    }
    if (this->Now() >= this->next_maintenance) {
      this->next_maintenance = this->Now() + kMaintenanceInterval;
      this->coordinator->DropStale();
      this->load->DropExpired(this->Now());
    }
  }

  // Slots in use by the counts of this VM.
  int Counted() const {
    int sum = 0;
    for (int group = 0; group < kGroups; ++group) {
      sum += this->load->Total(HeadOf(group));
    }
    return sum;
  }

  const std::string name;
  bool running = false;
  bool lacks_config = false;  // From the next Start() on.
  int asked = 0;
  int unasked = 0;
  int granted = 0;
  std::vector<Duration> rejection_waits;
  int rejected_without_time = 0;  // Without a usable Retry-After.
  std::map<std::int64_t, std::pair<std::string, MonotonicTime>> slots;

 private:
  ServerLoadCounters Counts() { return {this->load.get(), this->unread.get()}; }

  void AddGroups() {
    RoutingConfig config;
    config.version = 1;
    EngineSpec engine;
    engine.slots = kSlots;
    engine.models.push_back(ModelSpec{"m", 1, 1, 1});
    ServiceSpec& service = config.services["llm"];
    service.name = "llm";
    service.engine = engine;
    this->view->AdoptConfig(std::make_shared<const RoutingConfig>(config));
    for (int group = 0; group < kGroups; ++group) {
      BackendServer server;
      server.id = HeadOf(group);
      server.service = "llm";
      server.failure_domain = "zone";
      this->view->PutServer(server, this->Now());
      GroupRecord record;
      record.group = "g" + std::to_string(group);
      record.epoch = 1;
      record.service = "llm";
      record.model = "m";
      record.members = {server.id};
      this->view->PutRecord(record);
      this->view->SetOpen(record.group, 1, true);
    }
  }

  World* const world;
  NoPermits permits;
  std::int64_t life = 0;
  std::unique_ptr<ClusterLoad> load;
  std::unique_ptr<ClusterLoad> unread;
  std::unique_ptr<FleetView> view;
  std::unique_ptr<ServerLimiter> limiter;
  std::unique_ptr<ServerGate> gate;
  std::unique_ptr<SlotClient> client;
  std::unique_ptr<GroupLoadBalancer> balancer;
  std::unique_ptr<SlotCoordinator> coordinator;
  std::map<std::int64_t, MonotonicTime> requests;  // Begin by id.
  MonotonicTime next_report;
  MonotonicTime next_maintenance;
};

std::map<std::string, int> World::InUse() const {
  std::map<std::string, int> counts;
  for (const auto& vm : this->vms) {
    for (const auto& slot : vm.second->slots) {
      ++counts[slot.second.first];
    }
  }
  return counts;
}

int World::MostInUse() const {
  int most = 0;
  for (const auto& entry : this->InUse()) {
    most = std::max(most, entry.second);
  }
  return most;
}

class Simulation {
 public:
  Simulation(std::uint32_t seed, int vms) : world(seed) {
    for (int i = 0; i < vms; ++i) {
      const std::string name = "vm" + std::to_string(i);
      this->world.coordinators[name] = "vm0";
      this->world.vms[name] = std::make_unique<SimulatedVm>(&this->world, name);
    }
  }

  // Plays with `rate` requests a second of all VMs together, and returns the
  // most requests that a group has run at once.
  int Run(Duration duration, double rate) {
    int most = 0;
    const MonotonicTime end = this->world.clock.Now() + duration;
    while (this->world.clock.Now() < end) {
      this->world.clock.Advance(kTick);
      this->Deliver();
      for (const auto& [name, vm] : this->world.vms) {
        if (!vm->running) {
          continue;
        }
        const double chance = rate / 1000 / this->world.vms.size();
        if (this->world.Draw() < chance) {
          vm->Request();
        }
        vm->Step();
      }
      most = std::max(most, this->world.MostInUse());
    }
    return most;
  }

  SimulatedVm& Vm(int index) {
    return *this->world.vms.at("vm" + std::to_string(index));
  }
  void SetCoordinator(const std::string& coordinator) {
    for (auto& entry : this->world.coordinators) {
      entry.second = coordinator;
    }
  }
  int Granted() const {
    int sum = 0;
    for (const auto& entry : this->world.vms) {
      sum += entry.second->granted;
    }
    return sum;
  }

  // How long the requests waited that were rejected since the last call.
  std::vector<Duration> TakeRejectionWaits() {
    std::vector<Duration> all;
    for (const auto& entry : this->world.vms) {
      std::vector<Duration>& waits = entry.second->rejection_waits;
      all.insert(all.end(), waits.begin(), waits.end());
      waits.clear();
    }
    return all;
  }

  World world;

 private:
  void Deliver() {
    const MonotonicTime now = this->world.clock.Now();
    while (!this->world.deliveries.empty() &&
           this->world.deliveries.begin()->first <= now) {
      const auto deliver = this->world.deliveries.begin()->second;
      this->world.deliveries.erase(this->world.deliveries.begin());
      deliver();
    }
  }
};

// The slots are 12, each held for 0.6 s: 20 requests a second fill them.
constexpr double kOverload = 40;

TEST_CASE("No group gets more requests than slots from any number of VMs") {
  for (const int vms : {8, 74, 370}) {
    CAPTURE(vms);
    Simulation simulation(5, vms);
    CHECK(simulation.Run(seconds(6), kOverload) == kSlots);
    // Nearly all slots are in use all the time.
    CHECK(simulation.Granted() > 0.85 * 20 * 6);
  }
}

// Guards against callers that return at once because a request that expired in
// the queue has no Retry-After.
TEST_CASE("Each rejected request is given the time to return") {
  Simulation simulation(12, 20);
  simulation.Run(seconds(6), 3 * kOverload);
  for (const auto& entry : simulation.world.vms) {
    CHECK(entry.second->rejected_without_time == 0);
  }
  CHECK(!simulation.TakeRejectionWaits().empty());
}

// Guards against requests that miss their latency target, then wait behind all
// new ones and are rejected in the end.
TEST_CASE(
    "In a lasting shortage requests without prospects are rejected soon") {
  Simulation simulation(13, 20);
  simulation.Run(seconds(6), 3 * kOverload);
  simulation.TakeRejectionWaits();
  const int granted = simulation.Granted();
  simulation.Run(seconds(6), 3 * kOverload);
  const std::vector<Duration> waits = simulation.TakeRejectionWaits();
  const auto rejected = static_cast<std::ptrdiff_t>(waits.size());
  const std::ptrdiff_t soon = std::count_if(
      waits.begin(), waits.end(),
      [](Duration wait) { return wait <= kStartTime + kRecheckTime; });
  CHECK(rejected > 0);
  CHECK(soon >= rejected * 9 / 10);
  // The slots stay in use.
  CHECK(simulation.Granted() - granted > 0.85 * 20 * 6);
}

TEST_CASE("Messages that are repeated or late grant no slot twice") {
  Simulation simulation(6, 20);
  simulation.world.repetition = 0.5;
  simulation.world.max_delay = milliseconds(12);
  CHECK(simulation.Run(seconds(6), kOverload) <= kSlots);
  CHECK(simulation.Granted() > 60);
}

TEST_CASE("Lost messages leak no slot") {
  Simulation simulation(7, 20);
  simulation.world.loss = 0.3;
  simulation.Run(seconds(6), kOverload);
  simulation.world.loss = 0;
  simulation.Run(kDrainTime, 0);
  CHECK(simulation.world.MostInUse() == 0);
  CHECK(simulation.Vm(0).Counted() == 0);
}

TEST_CASE("The slots of a VM that ends are free soon") {
  Simulation simulation(8, 4);
  simulation.Run(seconds(2), kOverload);
  for (int i = 1; i < 4; ++i) {
    simulation.Vm(i).Stop();
  }
  CHECK(simulation.Vm(0).Counted() > 0);
  simulation.Run(kRepairTime, 0);
  CHECK(simulation.Vm(0).Counted() == 0);
}

// Guards against a crash of a VM that is asked for slots right after its start:
// it had read servers and groups, and the configuration not yet.
TEST_CASE("A VM that has read no configuration assigns no slots") {
  Simulation simulation(11, 4);
  simulation.Vm(0).lacks_config = true;
  simulation.Vm(0).Stop();
  simulation.Vm(0).Start();
  simulation.Run(seconds(1), kOverload);
  CHECK(simulation.Vm(1).asked > 0);
  CHECK(simulation.Granted() == 0);
}

// Guards against requests that are held for a VM that does not answer.
TEST_CASE("A request waits a moment only for a coordinator that is gone") {
  Simulation simulation(9, 20);
  simulation.Run(seconds(1), kOverload);
  simulation.Vm(0).Stop();
  const int granted = simulation.Granted();
  SimulatedVm& vm = simulation.Vm(1);
  vm.Request();
  simulation.Run(milliseconds(30), 0);
  const int unasked = vm.unasked;
  vm.Request();  // Selects a group by itself at once.
  CHECK(vm.unasked == unasked + 1);
  CHECK(simulation.Granted() <= granted + 1);
}

TEST_CASE("A new coordinator knows what is in use within a report interval") {
  Simulation simulation(10, 20);
  simulation.Run(seconds(2), kOverload);
  simulation.Vm(0).Stop();
  simulation.SetCoordinator("vm1");
  simulation.Run(2 * kReportInterval, 0);
  int in_use = 0;
  for (const auto& entry : simulation.world.InUse()) {
    in_use += entry.second;
  }
  CHECK(simulation.Vm(1).Counted() <= in_use + 2);
  CHECK(simulation.Vm(1).Counted() >= in_use - 2);
  // Requests end within 0.9 s, then the bound holds again.
  simulation.Run(seconds(1), kOverload);
  CHECK(simulation.Run(seconds(3), kOverload) <= kSlots);
}

// Random faults of all kinds; after they end, the bound holds within the repair
// time and no slot stays counted.
TEST_CASE("The bound on a group's requests returns after any faults") {
  CHECK(rc::check([] {
    Simulation simulation(*rc::gen::arbitrary<std::uint32_t>(), 9);
    World& world = simulation.world;
    for (int phase = 0; phase < 6; ++phase) {
      world.loss = *rc::gen::element(0.0, 0.1, 0.5, 1.0);
      world.repetition = *rc::gen::element(0.0, 0.3);
      world.max_delay = milliseconds(*rc::gen::element(1, 8, 60));
      for (auto& entry : world.coordinators) {
        entry.second = *rc::gen::element<std::string>("vm0", "vm0", "vm1");
      }
      const int restarted = *rc::gen::inRange(0, 9);
      simulation.Vm(restarted).Stop();
      if (*rc::gen::arbitrary<bool>()) {
        simulation.Vm(restarted).Start();
      }
      simulation.Run(milliseconds(*rc::gen::inRange(50, 700)), kOverload);
    }
    world.loss = 0;
    world.repetition = 0;
    world.max_delay = milliseconds(1);
    simulation.SetCoordinator("vm0");
    for (const auto& entry : world.vms) {
      if (!entry.second->running) {
        entry.second->Start();
      }
    }
    simulation.Run(kRepairTime, kOverload);
    RC_ASSERT(simulation.Run(seconds(1), kOverload) <= kSlots);
    simulation.Run(kDrainTime, 0);
    RC_ASSERT(world.MostInUse() == 0);
    RC_ASSERT(simulation.Vm(0).Counted() == 0);
  }));
}

}  // namespace
}  // namespace kumquatcart
