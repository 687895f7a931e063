// Reads of a store that answers every call, but late.
#include <catch2/catch.hpp>

#include "fakes/loop_server.h"
#include "fakes/loop_store.h"
#include "platform/store_client.h"

namespace kumquatcart {
namespace {

constexpr Duration kWait = std::chrono::milliseconds(1000);
// Longer than a read may take beyond its wait while the store is fast.
constexpr Duration kSlowAnswer = std::chrono::milliseconds(1600);

struct SlowStore {
  SlowStore() : store(&this->loop), client(&this->loop, this->store.Address()) {
    this->store.reads_wait = true;
  }
  ~SlowStore() { this->loop.UnwindCoroutines(); }

  // Repeats a read from offset `from` on until it returns a record. Returns how
  // long that took, and `limit` if none came before.
  Duration ReadUntilRecord(std::int64_t from, Duration limit, Coroutine yield) {
    const MonotonicTime started = this->loop.Now();
    while (this->loop.Now() - started < limit) {
      const Result<TopicBatch> batch =
          this->client.ReadSince(StoreTopic::kOperator, from, kWait, yield);
      if (batch.has_value() && !batch.value().records.empty()) {
        return this->loop.Now() - started;
      }
      if (batch.has_error()) {
        this->loop.Sleep(std::chrono::milliseconds(200), yield);
      }
    }
    return limit;
  }

  EventLoop loop;
  LoopStore store;
  StoreClient client;
};

// Guards against versions that are never in force while each answer of the
// store takes longer than the time limit of a read.
TEST_CASE("A store that answers every read late is read all the same") {
  SlowStore slow;
  RunCoroutine(&slow.loop, [&](Coroutine yield) {
    constexpr Duration kLimit = std::chrono::seconds(7);
    slow.store.answer_delay = kSlowAnswer;
    slow.store.Put("keyed.op", "config", "v");
    CHECK(slow.ReadUntilRecord(0, kLimit, yield) < kLimit);
    slow.loop.Spawn([&slow](Coroutine inner) {
      slow.loop.Sleep(kWait / 2, inner);
      slow.store.Put("keyed.op", "config", "w");
    });
    // Half of the wait, and one late answer.
    CHECK(slow.ReadUntilRecord(1, kLimit, yield) < kWait / 2 + 2 * kSlowAnswer);
  });
}

// Guards against a slow time of the store after which lost reads hide changes
// for longer than before it.
TEST_CASE("Once the store is fast again a lost read ends as early as before") {
  SlowStore slow;
  RunCoroutine(&slow.loop, [&](Coroutine yield) {
    constexpr Duration kLimit = std::chrono::seconds(7);
    slow.store.Put("keyed.op", "config", "v");
    slow.store.answer_delay = kSlowAnswer;
    CHECK(slow.ReadUntilRecord(0, kLimit, yield) < kLimit);
    slow.store.answer_delay = Duration{0};
    for (int i = 0; i < 6; ++i) {
      CHECK(slow.client.ReadNewest(StoreTopic::kServers, yield).has_value());
    }
    slow.store.BeginSilence();
    const MonotonicTime sent_at = slow.loop.Now();
    CHECK(slow.client.ReadSince(StoreTopic::kOperator, 1, kWait, yield)
              .has_error());
    CHECK(slow.loop.Now() - sent_at < kWait + std::chrono::milliseconds(800));
  });
}

}  // namespace
}  // namespace kumquatcart
