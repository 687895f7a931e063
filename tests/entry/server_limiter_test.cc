// Rate limits of servers that many entry VMs share, simulated on a paused
// clock.
#include "entry/server_limiter.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "peers/peer_directory.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kServer[] = "server";
constexpr char kService[] = "service";
constexpr Duration kColdTime = seconds(3);
constexpr Duration kMaxEntryDelay = milliseconds(200);
constexpr Duration kLatency = milliseconds(5);
constexpr Duration kAnswerTime = milliseconds(50);
constexpr Duration kNodeMemory = seconds(60);
// The platform's tolerance: in any 4 s a server may get one and a half times
// its limit and 5 requests more, from 3 s after it first named the limit.
constexpr Duration kWindow = seconds(4);
constexpr Duration kSettleTime = seconds(3);
constexpr double kTolerance = 1.5;
constexpr int kExtraRequests = 5;

class SimulatedNode;

// Clock, links and the one server of the simulation.
struct World {
  explicit World(std::uint32_t seed) : random(seed) {}

  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  void Run(Duration duration) { this->clock.Advance(duration); }
  SimulatedNode* Find(const std::string& name);
  // Requests that arrived in the last `duration`.
  int ArrivalsInLast(Duration duration) const;
  // Most requests in any window that began at or after `from`.
  int MostInWindow(MonotonicTime from, Duration window = kWindow) const;
  // The server's entry states that it is cold for `left`. Each node that is not
  // in `deaf` receives it some time later.
  void StateCold(Duration left);

  ManualClock clock;
  std::minstd_rand random;
  MetricRegistry metrics;
  std::vector<std::unique_ptr<SimulatedNode>> nodes;
  double loss = 0;  // Fraction of datagrams that are lost.
  // Nodes of different sides do not reach each other.
  std::set<std::string> other_side;
  // Datagrams to these nodes are lost; those that they send are not.
  std::set<std::string> deaf;
  std::optional<double> limit = 2.8;
  // What the server's service states; 0: nothing.
  double cold_per_second = 0;
  Duration cold_left{0};  // Of the server's latest entry.
  std::deque<MonotonicTime> arrivals;
};

// One entry VM: its limiter, its directory of peers and its callers.
class SimulatedNode : public PermitNetwork {
 public:
  SimulatedNode(World* world, std::string name, double requests_per_second)
      : name(std::move(name)),
        world(world),
        request_interval(std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(1 / requests_per_second))) {}

  // Starts the process, with nothing known but the names of all nodes.
  void Start() {
    ++this->life;
    this->frozen = false;
    this->started_at = this->world->clock.Now();
    this->peers = std::make_unique<PeerDirectory>(this->name, "zone");
    this->limiter = std::make_unique<ServerLimiter>(
        this->name, this, &this->world->metrics, this->world->random(),
        ColdBound{kTolerance, kExtraRequests},
        ServerLimiter::Listeners{[] {}, [this] { this->SendDigests(); }});
    ServiceSpec service;
    service.cold_time = kColdTime;
    service.cold_requests_per_second = this->world->cold_per_second;
    this->limiter->SetServices({{kService, service}});
    this->ReceiveEntry();
    for (const auto& node : this->world->nodes) {
      this->peers->PutPeer(node->name, "zone", Endpoint{"10.0.0.1", 1});
      if (node->peers != nullptr) {
        node->peers->PutPeer(this->name, "zone", Endpoint{"10.0.0.1", 1});
      }
    }
    this->Repeat(this->DigestInterval(), [this] { this->SendDigests(); });
    this->Repeat(this->request_interval, [this] { this->SendRequest(); });
  }
  void ReceiveEntry() {
    BackendServer server;
    server.id = kServer;
    server.service = kService;
    server.cold_left = this->world->cold_left;
    this->limiter->HandleEntry(server);
  }
  // As above, after the time that the store and its readers take.
  void ReceiveEntryLater() {
    this->CallAfter(
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, Duration::period>(kMaxEntryDelay) *
            this->world->Draw()),
        [this] { this->ReceiveEntry(); });
  }
  void Stop() {
    ++this->life;
    this->limiter = nullptr;
  }
  void Freeze() { this->frozen = true; }
  void Wake() {
    this->frozen = false;
    std::deque<std::function<void()>> work;
    work.swap(this->held_back);
    for (const auto& item : work) {
      item();
    }
  }

  MonotonicTime Now() const override { return this->world->clock.Now(); }
  void CallAfter(Duration delay, std::function<void()> callback) override {
    this->world->clock.CallAfter(
        delay, [this, life = this->life, callback = std::move(callback)] {
          this->Execute(life, callback);
        });
  }
  NodeCounts CountNodes() const override {
    const MonotonicTime now = this->Now();
    const int live = this->peers->CountLiveNodes(now);
    return {live, std::max(live, this->peers->CountNodesSince(
                                     now - kNodeMemory,
                                     now - this->started_at < kNodeMemory))};
  }
  std::string FindCoordinator(const std::string& server) const override {
    return this->peers->FindCoordinator(server, false, this->Now());
  }
  void Send(const std::string& node, const PermitMessage& message) override {
    this->Transmit(
        node, [bytes = EncodePermitMessage(message)](SimulatedNode* receiver) {
          receiver->limiter->HandleMessage(DecodePermitMessage(bytes)->value());
        });
  }

  const std::string name;
  int sent = 0;
  std::unique_ptr<ServerLimiter> limiter;

 private:
  using Delivery = std::function<void(SimulatedNode*)>;

  // Runs `work` unless the process has ended since `life`. A frozen process
  // runs it later.
  void Execute(int of_life, const std::function<void()>& work) {
    if (of_life != this->life || this->limiter == nullptr) {
      return;
    }
    if (this->frozen) {
      this->held_back.push_back(
          [this, of_life, work] { this->Execute(of_life, work); });
      return;
    }
    work();
  }

  // The first call comes after a random part of the interval.
  void Repeat(Duration interval, std::function<void()> work) {
    const auto first = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(interval) *
        this->world->Draw());
    this->CallAfter(first,
                    [this, interval, work] { this->Tick(interval, work); });
  }
  void Tick(Duration interval, const std::function<void()>& work) {
    this->CallAfter(interval,
                    [this, interval, work] { this->Tick(interval, work); });
    work();
  }

  Duration DigestInterval() const {
    return milliseconds(150) *
           static_cast<int>(1 + this->world->nodes.size() / 10);
  }

  void Transmit(const std::string& to, Delivery delivery) {
    SimulatedNode* receiver = this->world->Find(to);
    const auto& other_side = this->world->other_side;
    if (this->world->Draw() < this->world->loss ||
        other_side.count(to) != other_side.count(this->name) ||
        this->world->deaf.count(to) > 0) {
      return;
    }
    receiver->CallAfter(kLatency, [receiver, delivery = std::move(delivery)] {
      delivery(receiver);
    });
  }

  void SendDigests() {
    NodeDigest digest;
    digest.node = this->name;
    digest.interval_ms = static_cast<int>(ToMillis(this->DigestInterval()));
    digest.limits = this->limiter->NextReport();
    const std::string bytes = EncodeDigest(digest);
    for (const auto& node : this->world->nodes) {
      if (node.get() != this) {
        this->Transmit(node->name, [bytes](SimulatedNode* receiver) {
          receiver->HandleDigest(DecodeDigest(bytes).value());
        });
      }
    }
  }
  void HandleDigest(const NodeDigest& digest) {
    this->peers->AcceptDigest(digest, this->Now());
    this->limiter->MergeReport(digest.node, *digest.limits);
  }

  void SendRequest() {
    if (!this->limiter->HasPermit(kServer)) {
      this->limiter->NoteDemand(kServer);
    }
    if (!this->limiter->TryTake(kServer)) {
      return;
    }
    ++this->sent;
    this->world->arrivals.push_back(this->Now());
    const bool under_limit = this->limiter->IsLimited(kServer);
    this->CallAfter(
        kAnswerTime, [this, under_limit, limit = this->world->limit] {
          this->limiter->NoteAnswer(kServer, limit, under_limit, "id");
        });
  }

  World* const world;
  const Duration request_interval;
  MonotonicTime started_at;
  int life = 0;
  bool frozen = false;
  std::deque<std::function<void()>> held_back;
  std::unique_ptr<PeerDirectory> peers;
};

SimulatedNode* World::Find(const std::string& name) {
  const auto found =
      std::find_if(this->nodes.begin(), this->nodes.end(),
                   [&](const auto& node) { return node->name == name; });
  return found == this->nodes.end() ? nullptr : found->get();
}

int World::ArrivalsInLast(Duration duration) const {
  const MonotonicTime from = this->clock.Now() - duration;
  return static_cast<int>(
      std::count_if(this->arrivals.begin(), this->arrivals.end(),
                    [from](MonotonicTime at) { return at >= from; }));
}

void World::StateCold(Duration left) {
  this->cold_left = left;
  for (const auto& node : this->nodes) {
    if (this->deaf.count(node->name) == 0) {
      node->ReceiveEntryLater();
    }
  }
}

int World::MostInWindow(MonotonicTime from, Duration window) const {
  std::ptrdiff_t most = 0;
  for (auto first =
           std::lower_bound(this->arrivals.begin(), this->arrivals.end(), from);
       first != this->arrivals.end(); ++first) {
    most = std::max(
        most,
        std::lower_bound(first, this->arrivals.end(), *first + window) - first);
  }
  return static_cast<int>(most);
}

int AllowedInWindow(double limit) {
  return static_cast<int>(kTolerance * limit *
                              std::chrono::duration<double>(kWindow).count() +
                          kExtraRequests);
}

double Expected(double limit, Duration duration) {
  return limit * std::chrono::duration<double>(duration).count();
}

// Starts `count` nodes whose callers together send `requests_per_second`.
void StartNodes(World* world, int count, double requests_per_second) {
  for (int i = 0; i < count; ++i) {
    world->nodes.push_back(std::make_unique<SimulatedNode>(
        world, "node" + std::to_string(i), requests_per_second / count));
  }
  for (const auto& node : world->nodes) {
    node->Start();
  }
}

// Runs until the limit is known and has settled. Returns the time.
MonotonicTime Settle(World* world) {
  world->Run(kSettleTime);
  return world->clock.Now();
}

// Name of the node that allocates the permits.
std::string CoordinatorOf(const World& world) {
  return world.nodes.back()->FindCoordinator(kServer);
}

// Guards against VMs that each use a server's whole limit, or so little of
// their share that the server gets next to nothing.
TEST_CASE("Entry VMs share a server's limit") {
  struct Case {
    int nodes;
    double limit;
    double requests_per_second;
  };
  const Case cases[] = {{1, 2.8, 20},   {8, 2.8, 40},    {8, 0.5, 40},
                        {8, 60, 200},   {8, 500, 2000},  {89, 2.8, 400},
                        {89, 0.3, 400}, {370, 3.5, 1000}};
  for (const Case& example : cases) {
    CAPTURE(example.nodes, example.limit);
    World world(7);
    world.limit = example.limit;
    StartNodes(&world, example.nodes, example.requests_per_second);
    const MonotonicTime settled = Settle(&world);
    const Duration duration = seconds(example.nodes > 8 ? 20 : 60);
    world.Run(duration);
    CHECK(world.MostInWindow(settled) <= AllowedInWindow(example.limit));
    const double expected = Expected(example.limit, duration);
    CHECK(world.ArrivalsInLast(duration) <= expected + kExtraRequests);
    CHECK(world.ArrivalsInLast(duration) >= expected / 2 - 1);
  }
}

// Guards against a VM whose callers are never served because others take all
// permits.
TEST_CASE("Every entry VM gets permits of a shared limit") {
  World world(11);
  StartNodes(&world, 8, 80);
  Settle(&world);
  for (const auto& node : world.nodes) {
    node->sent = 0;
  }
  world.Run(seconds(120));
  for (const auto& node : world.nodes) {
    CHECK(node->sent >= 2.8 * 120 / 8 / 3);
  }
}

// Guards against a burst each time that another VM takes over the allocation,
// and against a limit that is lost with the process that knew it.
TEST_CASE("A server's limit holds while the coordinator restarts") {
  for (const double limit : {2.8, 0.5}) {
    CAPTURE(limit);
    World world(13);
    world.limit = limit;
    StartNodes(&world, 8, 80);
    const MonotonicTime settled = Settle(&world);
    for (int i = 0; i < 12; ++i) {
      SimulatedNode* coordinator = world.Find(CoordinatorOf(world));
      coordinator->Stop();
      world.Run(seconds(2));
      coordinator->Start();
      world.Run(seconds(3));
    }
    CHECK(world.MostInWindow(settled) <= AllowedInWindow(limit));
    CHECK(world.ArrivalsInLast(seconds(60)) >= limit * 60 / 3);
  }
}

// Guards against VMs that get no permits, or take them freely, while the VM
// that allocates them does not run; and against permits from before a freeze.
TEST_CASE("A server's limit holds while the coordinator is frozen") {
  World world(17);
  StartNodes(&world, 8, 80);
  const MonotonicTime settled = Settle(&world);
  for (int i = 0; i < 8; ++i) {
    SimulatedNode* coordinator = world.Find(CoordinatorOf(world));
    coordinator->Freeze();
    world.Run(seconds(4));
    CHECK(world.ArrivalsInLast(seconds(4)) >= 1);
    coordinator->Wake();
    world.Run(seconds(3));
  }
  CHECK(world.MostInWindow(settled) <= AllowedInWindow(2.8));
}

// Guards against the whole limit being used on each side of a partition.
TEST_CASE(
    "A server's limit holds while entry VMs are cut off from the others") {
  for (const int cut_off : {1, 4, 7}) {
    CAPTURE(cut_off);
    World world(19);
    StartNodes(&world, 8, 80);
    const MonotonicTime settled = Settle(&world);
    for (int i = 0; i < cut_off; ++i) {
      world.other_side.insert("node" + std::to_string(i));
    }
    world.Run(seconds(20));
    CHECK(world.ArrivalsInLast(seconds(20)) <= 2.8 * 20 + kExtraRequests);
    CHECK(world.ArrivalsInLast(seconds(20)) >= 2.8 * 20 / 3);
    world.other_side.clear();
    world.Run(seconds(20));
    CHECK(world.MostInWindow(settled) <= AllowedInWindow(2.8));
    CHECK(world.ArrivalsInLast(seconds(15)) >= 2.8 * 15 / 2);
  }
}

// Guards against a VM that sends nothing, or without limit, because its
// requests to the coordinator are lost while the coordinator's digests arrive.
TEST_CASE("A server's limit holds while the coordinator receives nothing") {
  World world(23);
  StartNodes(&world, 8, 80);
  const MonotonicTime settled = Settle(&world);
  world.deaf.insert(CoordinatorOf(world));
  world.Run(seconds(20));
  CHECK(world.MostInWindow(settled) <= AllowedInWindow(2.8));
  CHECK(world.ArrivalsInLast(seconds(15)) >= 2.8 * 15 / 3);
}

// Guards against lost datagrams that count as a cut.
TEST_CASE("A server's limit holds over links that lose datagrams") {
  for (const double loss : {0.03, 0.3}) {
    CAPTURE(loss);
    World world(29);
    world.loss = loss;
    StartNodes(&world, 8, 80);
    const MonotonicTime settled = Settle(&world);
    world.Run(seconds(60));
    CHECK(world.MostInWindow(settled) <= AllowedInWindow(2.8));
    CHECK(world.ArrivalsInLast(seconds(60)) >= 2.8 * 60 / 3);
  }
}

// Guards against a burst of VMs that join and do not know the limit.
TEST_CASE("A server's limit holds while entry VMs join") {
  World world(31);
  StartNodes(&world, 4, 40);
  const MonotonicTime settled = Settle(&world);
  for (int i = 0; i < 8; ++i) {
    world.nodes.push_back(
        std::make_unique<SimulatedNode>(&world, "new" + std::to_string(i), 10));
    world.nodes.back()->Start();
    world.Run(seconds(2));
  }
  world.Run(seconds(10));
  // Each new VM may send before it has received a digest.
  CHECK(world.MostInWindow(settled) <= AllowedInWindow(2.8));
}

// Guards against a limit that outlives its end, which only an answer can show.
TEST_CASE("A server's limit ends on all VMs when the server names none") {
  for (const double limit : {2.8, 0.0}) {
    CAPTURE(limit);
    World world(37);
    world.limit = limit;
    StartNodes(&world, 8, 80);
    Settle(&world);
    world.Run(seconds(5));
    world.limit = std::nullopt;
    world.Run(seconds(limit > 0 ? 3 : 60));
    for (const auto& node : world.nodes) {
      CHECK_FALSE(node->limiter->IsLimited(kServer));
    }
    CHECK(world.ArrivalsInLast(seconds(1)) >= 70);
  }
}

// Guards against VMs that end, each in turn for all, the limit that a restarted
// server has named, because the restart reaches them after it.
TEST_CASE("A restarted server's limit holds while news of the restart spread") {
  World world(59);
  StartNodes(&world, 8, 80);
  for (const auto& node : world.nodes) {
    node->limiter->HandleStart(kServer, /*started_ms=*/1'000);
  }
  Settle(&world);
  world.limit = 2;
  world.nodes.front()->limiter->HandleStart(kServer, /*started_ms=*/2'000);
  const MonotonicTime settled = Settle(&world);
  for (const auto& node : world.nodes) {
    node->limiter->HandleStart(kServer, /*started_ms=*/2'000);
    world.Run(milliseconds(300));
  }
  world.Run(seconds(4));
  CHECK(world.MostInWindow(settled) <= AllowedInWindow(2));
  for (const auto& node : world.nodes) {
    CHECK(node->limiter->IsLimited(kServer));
  }
}

// Guards against a limit that was changed and then reverts.
TEST_CASE("A changed limit replaces the former one on all VMs") {
  World world(41);
  world.limit = 20;
  StartNodes(&world, 8, 80);
  Settle(&world);
  world.Run(seconds(5));
  world.limit = 2;
  const MonotonicTime settled = Settle(&world);
  world.Run(seconds(20));
  CHECK(world.MostInWindow(settled) <= AllowedInWindow(2));
  world.limit = 20;
  world.Run(seconds(20));
  CHECK(world.ArrivalsInLast(seconds(10)) >= 20 * 10 / 2);
}

// Guards against requests that are rejected because the coordinator has not
// replied yet.
TEST_CASE("A permit is expected soon after it was requested") {
  World world(47);
  world.limit = 20;
  StartNodes(&world, 8, 8);
  Settle(&world);
  const std::string coordinator = CoordinatorOf(world);
  for (const auto& node : world.nodes) {
    if (node->name == coordinator) {
      continue;
    }
    world.Run(seconds(2));
    ServerLimiter* limiter = node->limiter.get();
    REQUIRE(limiter->IsLimited(kServer));
    limiter->NoteDemand(kServer);
    const auto expected = limiter->PermitExpectedAt(kServer, 0);
    REQUIRE(expected);
    CHECK(*expected <= world.clock.Now() + milliseconds(100));
  }
}

// Guards against a Retry-After that leaves out that other VMs get permits too.
TEST_CASE("Retry-After of rejected requests follows the VM's share") {
  World world(53);
  StartNodes(&world, 8, 80);
  Settle(&world);
  Duration sum{0};
  for (const auto& node : world.nodes) {
    sum += node->limiter->NextRetryAfter(kServer);
  }
  // Each VM gets a permit each 2.9 s.
  CHECK(sum / 8 >= seconds(1));
  CHECK(sum / 8 <= seconds(4));
}

// Guards against rejected callers that all return at the same moment, long
// before there is room for them.
TEST_CASE("Retry-After of rejected requests follows the limit") {
  World world(43);
  world.limit = 2;
  StartNodes(&world, 1, 20);
  Settle(&world);
  ServerLimiter* limiter = world.nodes.front()->limiter.get();
  const Duration first = limiter->NextRetryAfter(kServer);
  CHECK(first > Duration{0});
  CHECK(first <= seconds(1));
  const Duration second = limiter->NextRetryAfter(kServer);
  CHECK(second - first == milliseconds(500));
  world.Run(seconds(60));
  CHECK(limiter->NextRetryAfter(kServer) <= seconds(1));
}

// Requests that a cold server may get in any second, and how long it is cold in
// these tests.
constexpr double kColdPerSecond = 23;
constexpr int kMostInColdSecond =
    static_cast<int>(kTolerance * kColdPerSecond + kExtraRequests);
constexpr Duration kLongCold = seconds(20);

// Starts nodes under more load than a cold server takes; the server then
// becomes cold. Requests do not wait here, so that each node's come within the
// life of a permit. Returns the time at which all nodes have received that the
// server is cold.
MonotonicTime StartCold(World* world, int nodes) {
  world->limit.reset();
  world->cold_per_second = kColdPerSecond;
  StartNodes(world, nodes, std::max(300, 6 * nodes));
  Settle(world);
  world->StateCold(kLongCold);
  world->Run(kMaxEntryDelay);
  return world->clock.Now();
}

// Guards against VMs that each send a server that has just started as much as a
// warm one takes, or that leave it idle.
TEST_CASE("Entry VMs share the rate for a cold server") {
  for (const int nodes : {1, 8, 89, 370}) {
    CAPTURE(nodes);
    World world(41);
    const MonotonicTime from = StartCold(&world, nodes);
    world.Run(seconds(10));
    CHECK(world.MostInWindow(from, seconds(1)) <= kMostInColdSecond);
    CHECK(world.ArrivalsInLast(seconds(8)) >= kColdPerSecond * 8 / 2);
    world.StateCold(Duration{0});
    world.Run(seconds(1) + kMaxEntryDelay);
    CHECK(world.ArrivalsInLast(seconds(1)) >= 200);
  }
}

// Guards against both sides of a cut using the whole rate, and against VMs that
// send unasked because they reach nobody.
TEST_CASE("The rate for a cold server holds while entry VMs are cut off") {
  for (const int cut_off : {1, 20, 40, 79}) {
    CAPTURE(cut_off);
    World world(43);
    const MonotonicTime from = StartCold(&world, 80);
    for (int i = 0; i < cut_off; ++i) {
      world.other_side.insert("node" + std::to_string(i));
    }
    world.Run(seconds(10));
    CHECK(world.MostInWindow(from, seconds(1)) <= kMostInColdSecond);
    CHECK(world.ArrivalsInLast(seconds(8)) >= kColdPerSecond);
  }
}

// Guards against a burst while each VM that has just started takes itself for
// the only one, and when another VM takes over the allocation.
TEST_CASE("The rate for a cold server holds while entry VMs restart") {
  World world(47);
  const MonotonicTime from = StartCold(&world, 80);
  for (int i = 0; i < 3; ++i) {
    SimulatedNode* coordinator = world.Find(CoordinatorOf(world));
    coordinator->Stop();
    world.Run(seconds(1));
    coordinator->Start();
    world.Run(seconds(1));
  }
  for (const auto& node : world.nodes) {
    node->Stop();
  }
  for (const auto& node : world.nodes) {
    node->Start();
  }
  world.Run(seconds(8));
  CHECK(world.MostInWindow(from, seconds(1)) <= kMostInColdSecond);
}

// Guards against a coordinator that has not received that the server is cold
// and hands out permits freely.
TEST_CASE("A cold server's rate holds if the coordinator takes it for warm") {
  World world(53);
  world.limit.reset();
  world.cold_per_second = kColdPerSecond;
  StartNodes(&world, 80, 480);
  Settle(&world);
  world.deaf.insert(CoordinatorOf(world));
  world.StateCold(kLongCold);
  world.deaf.clear();
  world.Run(kMaxEntryDelay);
  const MonotonicTime from = world.clock.Now();
  world.Run(seconds(8));
  CHECK(world.MostInWindow(from, seconds(1)) <= kMostInColdSecond);
}

// Guards against permits that a process reads late, after it was held up, and
// uses beside those of the present.
TEST_CASE("A cold server's rate holds when frozen entry VMs wake") {
  World world(59);
  const MonotonicTime from = StartCold(&world, 80);
  for (int i = 0; i < 4; ++i) {
    for (int node = 0; node < 40; ++node) {
      world.nodes[node]->Freeze();
    }
    world.Run(seconds(1));
    for (int node = 0; node < 40; ++node) {
      world.nodes[node]->Wake();
    }
    world.Run(seconds(1));
  }
  CHECK(world.MostInWindow(from, seconds(1)) <= kMostInColdSecond);
}

}  // namespace
}  // namespace kumquatcart
