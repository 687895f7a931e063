// Guards against a configuration that takes effect late because all VMs request
// it from the same peer at once and the peer's link cannot carry it.
#include <catch2/catch.hpp>

#include "entry/record_service.h"
#include "fakes/loop_server.h"
#include "fakes/loop_store.h"
#include "fakes/throttled_link.h"
#include "peers/record_client.h"

namespace kumquatcart {
namespace {

constexpr char kTopic[] = "keyed.op";
constexpr char kZone[] = "zone";
constexpr int kReaders = 4;
constexpr FollowerSettings kSettings{
    StoreTopic::kOperator, kReaders, std::chrono::milliseconds(500),
    std::chrono::milliseconds(1), std::chrono::milliseconds(1)};

// A VM that follows the operator's topic.
struct FollowingVm {
  FollowingVm(EventLoop* loop, const std::string& name, TcpEndpoint store)
      : peers(name, kZone),
        store(loop, std::move(store)),
        role(loop, &this->peers, &this->store, kZone),
        records(loop),
        follower(
            loop,
            &this->store,
            kSettings,
            &this->role,
            [this](const TcpEndpoint& peer,
                   std::int64_t from,
                   Coroutine yield) {
              return this->records.Fetch(
                  peer, RecordQuery{StoreTopic::kOperator, from}, yield);
            },
            [this](const TopicRecord& record) {
              this->value = record.value.value_or("");
            }) {}

  // Accepts digests of as many preceding VMs as read the topic from the store.
  void AcceptReaderDigests(MonotonicTime now) {
    for (int i = 0; i < kReaders; ++i) {
      NodeDigest digest;
      digest.node = "a" + std::to_string(i);
      digest.interval_ms = 1000;
      this->peers.PutPeer(digest.node, kZone, Endpoint{"127.0.0.1", 1});
      this->peers.AcceptDigest(digest, now);
    }
  }

  PeerDirectory peers;
  StoreClient store;
  PlannerRole role;
  RecordClient records;
  std::string value;
  TopicFollower follower;
};

// One VM that reads the store and `count` others that receive its digests. Its
// link has the bandwidth of the smallest VMs.
struct FailureDomain {
  explicit FailureDomain(int count)
      : store(&this->loop),
        reader(&this->loop, "a0", this->store.Address()),
        service(&this->metrics),
        server(&this->loop,
               [this](const ParsedRequest& request, Coroutine) {
                 const auto query = DecodeRecordQuery(request.target);
                 return query ? this->service.Answer(query->topic,
                                                     this->reader.follower,
                                                     query->from)
                              : SimpleHttpResponse{404, ""};
               }),
        server_address(FreeAddress(&this->loop)),
        link(&this->loop, this->server_address, kLinkBytesPerSecond) {
    REQUIRE(this->server.Start(this->server_address).has_value());
    for (int i = 0; i < count; ++i) {
      this->others.push_back(std::make_unique<FollowingVm>(
          &this->loop, "b" + std::to_string(i), this->store.Address()));
    }
  }
  ~FailureDomain() { this->loop.UnwindCoroutines(); }

  // Starts all VMs with a small configuration.
  void Start(Coroutine yield) {
    this->store.Put(kTopic, "config", "small");
    this->reader.follower.Start();
    for (const auto& vm : this->others) {
      vm->AcceptReaderDigests(this->loop.Now());
      vm->follower.Start();
    }
    const MonotonicTime deadline = TestDeadline(&this->loop);
    while (this->CountWith("small") < this->others.size() &&
           this->loop.Now() < deadline) {
      this->loop.Sleep(kPollInterval, yield);
    }
  }

  std::size_t CountWith(const std::string& value) const {
    return static_cast<std::size_t>(
        std::count_if(this->others.begin(), this->others.end(),
                      [&](const auto& vm) { return vm->value == value; }));
  }

  // Distributes digests until all VMs have applied `value` or `bound` is over.
  void DistributeUntil(const std::string& value,
                       Duration bound,
                       Coroutine yield) {
    const MonotonicTime deadline = this->loop.Now() + bound;
    while (this->CountWith(value) < this->others.size() &&
           this->loop.Now() < deadline) {
      for (const auto& vm : this->others) {
        vm->AcceptReaderDigests(this->loop.Now());
        vm->follower.HandlePeerEnd(this->link.Address(),
                                   this->reader.follower.End());
      }
      this->loop.Sleep(kPollInterval, yield);
    }
  }

  static constexpr double kLinkBytesPerSecond = 20e6 / 8;
  static constexpr Duration kPollInterval = std::chrono::milliseconds(20);

  EventLoop loop;
  MetricRegistry metrics;
  LoopStore store;
  FollowingVm reader;
  RecordService service;
  SimpleHttpServer server;
  TcpEndpoint server_address;
  ThrottledLink link;
  std::vector<std::unique_ptr<FollowingVm>> others;
};

TEST_CASE("A large configuration reaches every VM in time over small links") {
  // The operators' bound on the time until a configuration is in force.
  constexpr Duration kPropagationBound = std::chrono::seconds(3);
  constexpr std::size_t kLargeConfigurationBytes = 250'000;
  FailureDomain domain(32);
  RunCoroutine(&domain.loop, [&](Coroutine yield) {
    domain.Start(yield);
    REQUIRE(domain.CountWith("small") == domain.others.size());
    const std::string large(kLargeConfigurationBytes, 'c');
    domain.store.Put(kTopic, "config", large);
    domain.DistributeUntil(large, kPropagationBound, yield);
    CHECK(domain.CountWith(large) == domain.others.size());
  });
}

}  // namespace
}  // namespace kumquatcart
