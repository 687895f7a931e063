// Distribution of large records among entry VMs whose links are small.
#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

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
constexpr int kVms = 32;
// Bandwidth of the smallest VMs.
constexpr double kLinkBytesPerSecond = 20e6 / 8;
constexpr std::size_t kLargeConfigurationBytes = 250'000;
// The operators' bound on the time until a configuration is in force.
constexpr Duration kPropagationBound = std::chrono::seconds(3);
constexpr Duration kPollInterval = std::chrono::milliseconds(20);

// A VM that follows the operator's topic and sends its records to peers over a
// link of limited bandwidth.
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
                   TopicPosition from,
                   Coroutine yield) {
              return this->records.Fetch(
                  peer, RecordQuery{StoreTopic::kOperator, from}, yield);
            },
            [this](const TopicRecord& record) {
              this->value = record.value.value_or("");
            }),
        service(&this->metrics, kLinkBytesPerSecond),
        server(loop,
               [this, loop](const ParsedRequest& request, Coroutine) {
                 return this->Answer(request, loop->Now());
               }),
        server_address(FreeAddress()),
        link(loop, this->server_address, kLinkBytesPerSecond) {
    REQUIRE(this->server.Start(this->server_address).has_value());
  }

  SimpleHttpResponse Answer(const ParsedRequest& request, MonotonicTime now) {
    const auto query = DecodeRecordQuery(request.target);
    return query ? this->service.Answer(query->topic, this->follower,
                                        query->from, now)
                 : SimpleHttpResponse{404, ""};
  }

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
  TopicPosition announced;
  TopicFollower follower;
  MetricRegistry metrics;
  RecordService service;
  SimpleHttpServer server;
  TcpEndpoint server_address;
  ThrottledLink link;
};

// One VM that reads the store and `count` others that receive digests.
struct FailureDomain {
  explicit FailureDomain(int count)
      : store(&this->loop), reader(&this->loop, "a0", this->store.Address()) {
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
    this->WaitUntil(TestDeadline(&this->loop), yield,
                    [this] { return this->AllHave("small"); });
    REQUIRE(this->AllHave("small"));
  }

  // Publishes `value` and waits until the reader has applied it.
  void Publish(const std::string& value, Coroutine yield) {
    this->store.Put(kTopic, "config", value);
    this->WaitUntil(TestDeadline(&this->loop), yield,
                    [&] { return this->reader.value == value; });
  }

  // Distributes digests until all VMs have applied `value` or the bound on the
  // propagation is over.
  void Distribute(const std::string& value, Coroutine yield) {
    this->WaitUntil(this->loop.Now() + kPropagationBound, yield, [&] {
      this->DeliverDigests();
      return this->AllHave(value);
    });
  }

  std::size_t CountWith(const std::string& value) const {
    return static_cast<std::size_t>(
        std::count_if(this->others.begin(), this->others.end(),
                      [&](const auto& vm) { return vm->value == value; }));
  }

  EventLoop loop;
  LoopStore store;
  FollowingVm reader;
  std::vector<std::unique_ptr<FollowingVm>> others;

 private:
  bool AllHave(const std::string& value) const {
    return this->CountWith(value) == this->others.size();
  }

  void WaitUntil(MonotonicTime deadline,
                 Coroutine yield,
                 const std::function<bool()>& done) {
    while (!done() && this->loop.Now() < deadline) {
      this->loop.Sleep(kPollInterval, yield);
    }
  }

  // Every VM sends a digest to all others when its topic end changes, and
  // periodically.
  void DeliverDigests() {
    this->Announce(&this->reader);
    for (const auto& sender : this->others) {
      this->Announce(sender.get());
    }
    for (const auto& receiver : this->others) {
      receiver->AcceptReaderDigests(this->loop.Now());
      Deliver(*this->others[this->random() % this->others.size()],
              receiver.get());
    }
  }

  void Announce(FollowingVm* sender) {
    if (sender->announced == sender->follower.Position()) {
      return;
    }
    sender->announced = sender->follower.Position();
    for (const auto& receiver : this->others) {
      Deliver(*sender, receiver.get());
    }
  }

  static void Deliver(const FollowingVm& sender, FollowingVm* receiver) {
    const TopicPosition end = sender.follower.Position();
    receiver->store.NotePeerEra(end.era);
    receiver->follower.HandlePeerEnd(sender.link.Address(), end, true);
  }

  std::mt19937 random{17};
};

// Guards against a configuration that takes effect late because all VMs request
// it from the same peer at once and the peer's link cannot carry it.
TEST_CASE("A large configuration reaches every VM in time over small links") {
  FailureDomain domain(kVms);
  RunCoroutine(&domain.loop, [&](Coroutine yield) {
    domain.Start(yield);
    const std::string large(kLargeConfigurationBytes, 'c');
    domain.Publish(large, yield);
    domain.Distribute(large, yield);
    CHECK(domain.CountWith(large) == kVms);
  });
}

// Guards against the same collapse where the store cannot help.
TEST_CASE(
    "A large configuration spreads through peers while the store is down") {
  FailureDomain domain(kVms);
  RunCoroutine(&domain.loop, [&](Coroutine yield) {
    domain.Start(yield);
    const std::string large(kLargeConfigurationBytes, 'c');
    domain.Publish(large, yield);
    domain.store.refusal = 503;
    domain.Distribute(large, yield);
    CHECK(domain.CountWith(large) == kVms);
  });
}

// Guards against a herd at a store that has come back from an older copy: all
// VMs notice at the same time, and each needs all records of the new era.
TEST_CASE("The return of an older copy costs the store few reads") {
  // Beyond the reads that wait for records.
  constexpr int kReadsOfOthers = 2;
  constexpr int kReadsOfReader = 30;
  FailureDomain domain(kVms);
  domain.store.reads_wait = true;
  domain.store.era = "1";
  RunCoroutine(&domain.loop, [&](Coroutine yield) {
    domain.Start(yield);
    const std::string large(kLargeConfigurationBytes, 'c');
    domain.Publish(large, yield);
    domain.Distribute(large, yield);
    const LoopStore::Topics copy = domain.store.Copy();
    domain.Publish("lost", yield);
    domain.Distribute("lost", yield);
    REQUIRE(domain.CountWith("lost") == kVms);
    const int calls = domain.store.calls;
    domain.store.ComeBackFrom(copy);
    domain.store.era = "2";
    domain.Distribute(large, yield);
    CHECK(domain.CountWith(large) == kVms);
    CHECK(domain.store.calls - calls <= kReadsOfOthers * kVms + kReadsOfReader);
  });
}

// Guards against a peer that accepts more transfers than its link can carry.
TEST_CASE("A peer sends a bounded number of record bytes per second") {
  FailureDomain domain(0);
  RunCoroutine(&domain.loop, [&](Coroutine yield) {
    domain.Start(yield);
    domain.Publish(std::string(kLargeConfigurationBytes, 'c'), yield);
  });
  // The link carries ten of these records in a second.
  constexpr int kRequests = 10;
  const auto count_answered = [&](MonotonicTime now) {
    int answered = 0;
    for (int i = 0; i < kRequests; ++i) {
      const SimpleHttpResponse answer = domain.reader.service.Answer(
          StoreTopic::kOperator, domain.reader.follower, {}, now);
      answered += answer.status == 200 ? 1 : 0;
    }
    return answered;
  };
  const MonotonicTime start = domain.loop.Now();
  const int burst = count_answered(start);
  CHECK(burst >= 1);
  CHECK(burst <= kRequests / 2);
  CHECK(count_answered(start) == 0);
  const int next = count_answered(start + std::chrono::seconds(1));
  CHECK(next >= 1);
  CHECK(next <= burst);
}

}  // namespace
}  // namespace kumquatcart
