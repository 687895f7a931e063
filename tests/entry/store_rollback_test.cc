// The store comes back from an older copy of itself: offsets are given out
// again, and what was written since the copy is gone.
#include <catch2/catch.hpp>

#include "entry/follower_fixture.h"

namespace kumquatcart {
namespace {

using Values = std::map<std::string, std::string>;

// Most calls of one follower in half a second in which nothing is written.
constexpr int kMaxIdleCalls = 12;

// Guards against a storm of calls that takes the store from all other readers:
// a read was answered with 410, the newest records ended before the known end,
// and the two calls were repeated without a pause.
TEST_CASE("A read that the newest records do not cure is paced") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  const LoopStore::Topics copy = f.store.Copy();
  f.store.Put(kTopic, "b", "1");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.End() == 2; });
  f.store.reads_wait = true;
  f.RunFor(std::chrono::milliseconds(100));
  f.store.ComeBackFrom(copy);
  const int calls = f.store.calls;
  f.RunFor(std::chrono::milliseconds(500));
  CHECK(f.store.calls - calls <= kMaxIdleCalls);
}

// Guards against the same storm while nobody has written to a topic, where the
// store answers all reads with 404.
TEST_CASE("Reads of a topic that does not exist are paced") {
  FollowerFixture f;
  f.store.has_missing_topics = true;
  f.store.reads_wait = true;
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  const int calls = f.store.calls;
  f.RunFor(std::chrono::milliseconds(500));
  CHECK(f.store.calls - calls <= kMaxIdleCalls);
}

// Guards against versions and removals that are never seen: the new history is
// longer than the known end, so a read from there succeeds, and what differs
// below it was not read.
TEST_CASE("Records below the known end of a new history are read") {
  FollowerFixture f;
  f.store.reads_wait = true;
  f.store.era = "4";
  f.store.Put(kTopic, "a", "1");
  f.store.Put(kTopic, "b", "1");
  const LoopStore::Topics copy = f.store.Copy();
  f.store.Put(kTopic, "c", "1");
  f.store.Put(kTopic, "a", "2");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.End() == 4; });
  f.store.era = "5";
  f.store.ComeBackFrom(copy);
  f.store.Put(kTopic, "b", "2");
  f.store.Put(kTopic, "c", "2");
  f.store.Put(kTopic, "d", "1");
  f.RunUntil([&] { return f.values.count("d") > 0 && f.values["b"] == "2"; });
  f.RunFor(std::chrono::milliseconds(50));
  CHECK(f.values["b"] == "2");
  CHECK(f.values["c"] == "2");
  CHECK(f.values["d"] == "1");
}

// The same at a store that states no era, where the end tells it.
TEST_CASE("A new history that is shorter than the known end is read") {
  for (const bool loses_topic : {false, true}) {
    CAPTURE(loses_topic);
    FollowerFixture f;
    f.store.reads_wait = true;
    f.store.has_missing_topics = true;
    f.store.Put(kTopic, "a", "1");
    const LoopStore::Topics copy =
        loses_topic ? LoopStore::Topics() : f.store.Copy();
    f.store.Put(kTopic, "b", "1");
    f.store.Put(kTopic, "c", "1");
    f.follower.Start();
    f.RunUntil([&] { return f.follower.End() == 3; });
    f.store.ComeBackFrom(copy);
    f.store.Put(kTopic, "b", "2");
    f.RunUntil([&] { return f.values["b"] == "2"; });
    CHECK(f.values["b"] == "2");
  }
}

// Guards against records of a lost history that a slow store, or a peer's
// answer, brings after the new one was read.
TEST_CASE("Records and ends of an earlier era are ignored") {
  FollowerFixture f;
  f.store.reads_wait = true;
  f.store.era = "5";
  f.store.Put(kTopic, "a", "2");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  f.BecomeNonReader();
  f.peer_batch = TopicBatch{{{"a", "1", 8}}, 9, std::vector<std::string>(), 4};
  f.follower.HandlePeerEnd(TcpEndpoint(), {4, 9}, true);
  f.RunFor(std::chrono::milliseconds(50));
  CHECK(f.fetches == 0);
  // A peer that has reported a later era, and has started again since.
  f.follower.HandlePeerEnd(TcpEndpoint(), {6, 9}, true);
  f.RunUntil([&] { return f.fetches == 1; });
  f.RunFor(std::chrono::milliseconds(50));
  CHECK(f.values == Values{{"a", "2"}});
  CHECK(f.follower.Position() == TopicPosition{5, 1});
}

// Guards against a VM that does not read the store and stays in the history
// that was lost, since its end is the higher one.
TEST_CASE("A VM that does not read the store begins the era of a peer") {
  FollowerFixture f;
  f.store.era = "5";
  f.store.Put(kTopic, "a", "1");
  f.store.Put(kTopic, "b", "1");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  f.BecomeNonReader();
  f.client.NotePeerEra(6);
  f.peer_batch = TopicBatch{{{"a", "3", 0}}, 1, std::vector<std::string>(), 6};
  f.follower.HandlePeerEnd(TcpEndpoint(), {6, 1}, true);
  f.RunUntil([&] { return f.follower.IsCurrent(); });
  CHECK(f.follower.Position() == TopicPosition{6, 1});
  CHECK(f.values["a"] == "3");
}

// Guards against a belief that follows from an answer that may be of any era.
TEST_CASE("An answer without its era, or of an earlier one, changes nothing") {
  for (const char* stated :
       {"", "4", "five", "-1", "5 6", "99999999999999999999"}) {
    CAPTURE(stated);
    FollowerFixture f;
    f.store.era = "5";
    f.store.Put(kTopic, "a", "1");
    f.follower.Start();
    f.RunUntil([&] { return f.follower.IsSynced(); });
    f.store.era = stated;
    f.store.Put(kTopic, "b", "1");
    const int calls = f.store.calls;
    f.RunFor(std::chrono::milliseconds(500));
    CHECK(f.values == Values{{"a", "1"}});
    CHECK(f.client.Era() == 5);
    CHECK(f.store.calls - calls <= kMaxIdleCalls);
    f.store.era = "5";
    f.RunUntil([&] { return f.values.size() == 2; });
    CHECK(f.values == Values{{"a", "1"}, {"b", "1"}});
  }
}

// Guards against the next loop of calls, whatever answer causes it.
TEST_CASE("Calls beyond the rate of a VM are delayed") {
  constexpr int kSavedUp = 300;
  constexpr int kInHalfASecond = 25;
  FollowerFixture f;
  RunCoroutine(&f.loop, [&](Coroutine yield) {
    const MonotonicTime end = f.loop.Now() + std::chrono::milliseconds(500);
    while (f.loop.Now() < end) {
      CHECK(f.client.ReadSince(StoreTopic::kServers, 0, Duration{0}, yield)
                .has_value());
    }
  });
  // The last one may be sent at the end, and one is owed.
  CHECK(f.store.calls <= kSavedUp + kInHalfASecond + 2);
  CHECK(f.store.calls >= kSavedUp);
}

// Guards against a VM that starts after the store came back, and knows nothing
// of what its peers have seen before.
TEST_CASE("What peers retain is requested from some of them once") {
  FollowerFixture f;
  f.store.reads_wait = true;
  f.store.era = "5";
  f.store.Put(kTopic, "a", "1");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  f.peer_batch = TopicBatch{{}, 0, std::nullopt, 5, {{"a", "2", false}}};
  for (std::uint16_t port = 1; port <= 6; ++port) {
    for (int repeat = 0; repeat < 2; ++repeat) {
      f.follower.HandlePeerRetained(
          TcpEndpoint(boost::asio::ip::address_v4::loopback(), port), 5);
      f.RunFor(std::chrono::milliseconds(5));
    }
  }
  CHECK(f.fetches == 3);
  CHECK(f.follower.Position() == TopicPosition{5, 1});
}

}  // namespace
}  // namespace kumquatcart
