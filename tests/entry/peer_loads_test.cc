// Load reports between 8 to 370 entry VMs, in simulated time and without a
// network.
#include "entry/peer_loads.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "peers/digest_schedule.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

constexpr int kDomains = 5;
constexpr Duration kTick = milliseconds(10);
constexpr char kServer[] = "server";
// VMs of a deployment have between 0.12 and 0.5 cores.
constexpr int kReaders = 2;
constexpr Duration kReadInterval = milliseconds(500);
constexpr Duration kRoleCheckInterval = milliseconds(250);
constexpr double kLargeCores = 0.5;
constexpr double kSmallCores = 0.12;

std::string NodeName(int index) {
  return "n" + std::to_string(1000 + index);
}

std::string DomainName(int index) {
  return "zone" + std::to_string(index % kDomains);
}

// One node: the peers that it knows, the load that it sees, and what it sends.
struct Node {
  explicit Node(int index, int count)
      : name(NodeName(index)),
        domain(DomainName(index)),
        peers(this->name, this->domain, CoresOf(index)),
        schedule(&this->peers),
        loads({&this->load, &this->unread}, this->domain),
        phase(index % 15) {
    for (int i = 0; i < count; ++i) {
      this->peers.PutPeer(NodeName(i), DomainName(i), Endpoint{"10.0.0.1", 1},
                          CoresOf(i));
    }
  }

  // The three strongest nodes of each domain are the last ones by name.
  static double CoresOf(int index) {
    return index % 20 >= 15 ? kLargeCores : kSmallCores;
  }

  NodeDigest Compose(MonotonicTime now) {
    NodeDigest digest;
    digest.node = this->name;
    digest.failure_domain = this->domain;
    digest.reaches_store = this->reaches_store;
    this->loads.Report(this->schedule.IsCollector(now), now, &digest);
    return digest;
  }

  void Receive(const NodeDigest& digest, MonotonicTime now) {
    ++this->received;
    this->sums_received += digest.cluster_load ? 1 : 0;
    this->peers.AcceptDigest(digest, now);
    this->loads.Accept(digest, this->schedule.IsCollector(now), now);
  }

  // Reads the store if it is this node's turn; `is_up`: whether that succeeds.
  void ReadStore(bool is_up, MonotonicTime now) {
    if (now < this->next_read) {
      return;
    }
    if (!this->peers.IsStoreReader(kReaders, now)) {
      this->next_read = now + kRoleCheckInterval;
      return;
    }
    ++this->reads;
    this->next_read = now + kReadInterval;
    this->reaches_store = is_up;
    this->peers.SetReachesStore(is_up);
  }

  const std::string name;
  const std::string domain;
  PeerDirectory peers;
  DigestSchedule schedule;
  ClusterLoad load;
  ClusterLoad unread;
  PeerLoads loads;
  const int phase;  // Nodes start at different times.
  MonotonicTime next_round;
  MonotonicTime next_read;
  bool is_up = true;
  bool reaches_store = true;
  int reads = 0;
  int sent = 0;
  int received = 0;
  int sums_received = 0;
};

struct Deployment {
  explicit Deployment(int count, double loss = 0) : loss(loss) {
    for (int i = 0; i < count; ++i) {
      this->nodes.push_back(std::make_unique<Node>(i, count));
      this->index[this->nodes.back()->name] = i;
    }
  }

  void Send(Node* sender, const std::vector<DigestTarget>& targets) {
    if (targets.empty()) {
      return;
    }
    const NodeDigest digest = sender->Compose(this->now);
    for (const DigestTarget& target : targets) {
      ++sender->sent;
      // The peer's state is the element of a map with the peer's name as key.
      const auto found = std::find_if(sender->peers.Peers().begin(),
                                      sender->peers.Peers().end(),
                                      [&target](const auto& entry) {
                                        return &entry.second == target.peer;
                                      });
      Node* receiver =
          this->nodes[static_cast<std::size_t>(this->index.at(found->first))]
              .get();
      if (!receiver->is_up || this->uniform(this->random) < this->loss) {
        continue;
      }
      NodeDigest part = digest;
      part.interval_ms = static_cast<int>(
          ToMillis(sender->schedule.Interval(target.audience, this->now)));
      KeepLoadsFor(target.audience, &part);
      receiver->Receive(part, this->now);
    }
  }

  void Run(Duration duration) {
    const MonotonicTime end = this->now + duration;
    for (; this->now < end; this->now += kTick) {
      for (const auto& node : this->nodes) {
        if (!node->is_up || this->now < kStart + node->phase * kTick) {
          continue;
        }
        node->ReadStore(this->store_is_up, this->now);
        if (this->now < node->next_round) {
          continue;
        }
        this->Send(node.get(), node->schedule.TakeDue(this->now));
        node->next_round =
            this->now +
            node->schedule.Interval(DigestAudience::kOwnDomain, this->now);
        node->load.DropExpired(this->now);
      }
    }
  }

  void ResetCounts() {
    for (const auto& node : this->nodes) {
      node->sent = 0;
      node->received = 0;
      node->reads = 0;
    }
  }

  int MaxReceived() const {
    int most = 0;
    for (const auto& node : this->nodes) {
      most = std::max(most, node->received);
    }
    return most;
  }

  int MaxSent() const {
    int most = 0;
    for (const auto& node : this->nodes) {
      most = std::max(most, node->sent);
    }
    return most;
  }

  int CountReads() const {
    int reads = 0;
    for (const auto& node : this->nodes) {
      reads += node->reads;
    }
    return reads;
  }

  // Number of live nodes that see another total load than there is.
  int CountWrongTotals() const {
    int total = 0;
    for (const auto& node : this->nodes) {
      total += node->is_up ? node->load.LocalCount(kServer) : 0;
    }
    return static_cast<int>(std::count_if(
        this->nodes.begin(), this->nodes.end(), [total](const auto& node) {
          return node->is_up && node->load.Total(kServer) != total;
        }));
  }

  static constexpr MonotonicTime kStart{std::chrono::seconds(100)};
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::string, int> index;
  MonotonicTime now = kStart;
  bool store_is_up = true;
  const double loss;
  std::minstd_rand random{7};
  std::uniform_real_distribution<double> uniform{0, 1};
};

// Two intervals to the collectors and between them, one to the nodes, and as
// much for uneven timers.
constexpr Duration kMaxAge = milliseconds(600);

// Guards against counts that are older than the requests they count: with
// digests from each node to every other, the interval grows with the number of
// nodes, to 4.5 s at 295 VMs.
TEST_CASE("Every node knows the load of all others within 0.6 s at any size") {
  for (const int count : {8, 20, 22, 89, 295, 370}) {
    CAPTURE(count);
    Deployment deployment(count);
    deployment.Run(std::chrono::seconds(8));
    CHECK(deployment.CountWrongTotals() == 0);
    for (const auto& node : deployment.nodes) {
      node->load.Begin(kServer, 1 + deployment.index[node->name] % 3);
    }
    deployment.Run(kMaxAge);
    CHECK(deployment.CountWrongTotals() == 0);
    for (const auto& node : deployment.nodes) {
      node->load.End(kServer, 1);
    }
    deployment.Run(kMaxAge);
    CHECK(deployment.CountWrongTotals() == 0);
  }
}

// Guards against datagrams that use up a small VM: sending 0.15 s digests to
// all, each of 295 VMs would receive 1,960 a second.
TEST_CASE("A node exchanges few datagrams a second at any size") {
  // One percent of a core at 0.1 ms of processor time for a datagram; the
  // smallest VMs have 0.12 cores.
  constexpr int kMaxReceivedPerSecond = 100;
  constexpr int kMaxCollectorDatagramsPerSecond = 1200;
  for (const int count : {8, 22, 89, 295, 370}) {
    CAPTURE(count);
    Deployment deployment(count);
    deployment.Run(std::chrono::seconds(8));
    deployment.ResetCounts();
    constexpr int kSeconds = 5;
    deployment.Run(std::chrono::seconds(kSeconds));
    CHECK(deployment.MaxSent() <= kSeconds * kMaxCollectorDatagramsPerSecond);
    CHECK(deployment.MaxReceived() <=
          kSeconds * kMaxCollectorDatagramsPerSecond);
    for (const auto& node : deployment.nodes) {
      if (!node->schedule.IsCollector(deployment.now)) {
        CHECK(node->received <= kSeconds * kMaxReceivedPerSecond);
        CHECK(node->sent <= kSeconds * kMaxReceivedPerSecond);
      }
    }
  }
}

// Guards against sums of all loads that take most of a small VM's processor
// time: one from each collector in each round, 13 a second.
TEST_CASE("A node decodes few sums of all loads at any size") {
  constexpr int kSeconds = 4;
  constexpr int kMaxSumsPerSecond = 7;
  for (const int count : {74, 295, 370}) {
    CAPTURE(count);
    Deployment deployment(count);
    deployment.Run(std::chrono::seconds(2));
    for (const auto& node : deployment.nodes) {
      node->sums_received = 0;
    }
    deployment.Run(std::chrono::seconds(kSeconds));
    for (const auto& node : deployment.nodes) {
      CHECK(node->sums_received <= kSeconds * kMaxSumsPerSecond);
    }
  }
}

// Guards against a storm at a change of the groups or the configuration, which
// every node receives: each of 295 nodes sent a digest to all others for each
// of hundreds of records.
TEST_CASE("A change that all nodes receive is announced by a few of them") {
  for (const int count : {89, 295, 370}) {
    CAPTURE(count);
    Deployment deployment(count);
    deployment.Run(std::chrono::seconds(8));
    deployment.ResetCounts();
    for (const auto& node : deployment.nodes) {
      deployment.Send(node.get(),
                      node->schedule.TakeForChange(false, deployment.now));
    }
    // Two nodes of each failure domain collect, and announce to all.
    constexpr int kAnnouncers = 2 * kDomains;
    const int per_domain = (count + kDomains - 1) / kDomains;
    CHECK(deployment.MaxReceived() <= kAnnouncers + per_domain);
    for (const auto& node : deployment.nodes) {
      CHECK(node->received >= kAnnouncers - 1);
    }
  }
}

// Guards against counts that are lost with a collector.
TEST_CASE("The loss of a collector leaves the counts of its domain in place") {
  for (const double loss : {0.0, 0.02}) {
    CAPTURE(loss);
    Deployment deployment(295, loss);
    deployment.Run(std::chrono::seconds(8));
    for (const auto& node : deployment.nodes) {
      node->load.Begin(kServer);
    }
    deployment.Run(std::chrono::seconds(1));
    REQUIRE(deployment.CountWrongTotals() == 0);
    const auto collector =
        std::find_if(deployment.nodes.begin(), deployment.nodes.end(),
                     [&](const auto& node) {
                       return node->schedule.IsCollector(deployment.now);
                     });
    REQUIRE(collector != deployment.nodes.end());
    CHECK(Node::CoresOf(deployment.index[(*collector)->name]) == kLargeCores);
    (*collector)->load.End(kServer);
    (*collector)->is_up = false;
    // The dead node's own requests count until its digests are missed.
    for (int i = 0; i < 30; ++i) {
      deployment.Run(milliseconds(100));
      for (const auto& node : deployment.nodes) {
        if (node->is_up) {
          const int seen = node->load.Total(kServer);
          CHECK(seen >= 290);
          CHECK(seen <= 295);
        }
      }
    }
    CHECK(deployment.CountWrongTotals() == 0);
  }
}

// Guards against a storm while the store is down: no node reaches it, so that
// each took all duties of its domain, read the store and sent to all others.
TEST_CASE("A store that is down changes neither readers nor collectors") {
  for (const int count : {89, 295}) {
    CAPTURE(count);
    Deployment deployment(count);
    deployment.Run(std::chrono::seconds(8));
    for (const auto& node : deployment.nodes) {
      node->load.Begin(kServer);
    }
    deployment.ResetCounts();
    deployment.store_is_up = false;
    constexpr int kSeconds = 8;
    deployment.Run(std::chrono::seconds(kSeconds));
    // Each node may have to find out by itself that the store is down.
    constexpr int kReadsPerReader =
        kSeconds * std::chrono::seconds(1) / kReadInterval;
    CHECK(deployment.CountReads() <=
          count + 2 * kReaders * kDomains * kReadsPerReader);
    CHECK(deployment.CountWrongTotals() == 0);
    constexpr int kMaxReceivedPerSecond = 100;
    int collectors = 0;
    for (const auto& node : deployment.nodes) {
      if (node->schedule.IsCollector(deployment.now)) {
        ++collectors;
      } else {
        CHECK(node->received <= kSeconds * kMaxReceivedPerSecond);
      }
    }
    CHECK(collectors == 2 * kDomains);
    deployment.store_is_up = true;
    deployment.Run(2 * kReadInterval);
    deployment.ResetCounts();
    deployment.Run(std::chrono::seconds(kSeconds));
    CHECK(deployment.CountReads() <= 2 * kReaders * kDomains * kReadsPerReader);
  }
}

// Guards against a cut-off domain whose last counts are used for ever: the
// collectors of a domain send each other all sums that they know.
TEST_CASE("The load of a failure domain that falls silent is dropped") {
  Deployment deployment(89);
  deployment.Run(std::chrono::seconds(8));
  for (const auto& node : deployment.nodes) {
    node->load.Begin(kServer);
  }
  deployment.Run(std::chrono::seconds(1));
  for (const auto& node : deployment.nodes) {
    node->is_up = node->domain != DomainName(0);
  }
  // Three rounds of the digests of ordinary nodes.
  deployment.Run(milliseconds(3 * 2700 + 1500));
  CHECK(deployment.CountWrongTotals() == 0);
}

}  // namespace
}  // namespace kumquatcart
