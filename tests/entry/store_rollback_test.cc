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

}  // namespace
}  // namespace kumquatcart
