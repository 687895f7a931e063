// Reads of a store that answers every call, but late.
#include <algorithm>

#include <catch2/catch.hpp>

#include "entry/process_fixture.h"

namespace kumquatcart {
namespace {

constexpr Duration kWait = std::chrono::milliseconds(1000);
// Longer than a read may take beyond its wait.
constexpr Duration kSlowAnswer = std::chrono::milliseconds(1600);
// Of a read that is lost: its wait, the time beyond it, and a margin.
constexpr Duration kLostReadTime = kWait + std::chrono::milliseconds(800);

struct SlowStore {
  SlowStore() : store(&this->loop), client(&this->loop, this->store.Address()) {
    this->store.reads_wait = true;
    this->client.SetTakeLate(StoreTopic::kOperator,
                             [this](const TopicBatch& batch) {
                               this->end = std::max(this->end, batch.end);
                             });
  }
  ~SlowStore() { this->loop.UnwindCoroutines(); }

  // Repeats reads until the record before offset `wanted` has come, in time or
  // late. Returns how long that took, and `limit` if it did not come before.
  Duration ReadUntil(std::int64_t wanted, Duration limit, Coroutine yield) {
    const MonotonicTime started = this->loop.Now();
    while (this->end < wanted && this->loop.Now() - started < limit) {
      const Result<TopicBatch> batch = this->client.ReadSince(
          StoreTopic::kOperator, this->end, kWait, yield);
      if (batch.has_value()) {
        this->end = std::max(this->end, batch.value().end);
      } else {
        this->loop.Sleep(std::chrono::milliseconds(200), yield);
      }
    }
    return std::min(this->loop.Now() - started, limit);
  }

  EventLoop loop;
  LoopStore store;
  StoreClient client;
  std::int64_t end = 0;  // After the last record that has come.
};

// Guards against records that never come while each answer of the store takes
// longer than the time limit of a read.
TEST_CASE("What a store answers late is read all the same") {
  SlowStore slow;
  RunCoroutine(&slow.loop, [&](Coroutine yield) {
    constexpr Duration kLimit = std::chrono::seconds(7);
    slow.store.answer_delay = kSlowAnswer;
    slow.store.Put("keyed.op", "config", "v");
    CHECK(slow.ReadUntil(1, kLimit, yield) < kLimit);
    slow.store.Put("keyed.op", "config", "w");
    CHECK(slow.ReadUntil(2, kLimit, yield) < kLimit);
  });
}

// Guards against a slow time of the store after which lost reads hide changes
// for longer than before it.
TEST_CASE("A read that is lost after a slow time ends as early as before it") {
  SlowStore slow;
  RunCoroutine(&slow.loop, [&](Coroutine yield) {
    slow.store.Put("keyed.op", "config", "v");
    slow.store.answer_delay = kSlowAnswer;
    slow.ReadUntil(1, std::chrono::seconds(7), yield);
    slow.store.answer_delay = Duration{0};
    slow.store.BeginSilence();
    const MonotonicTime sent_at = slow.loop.Now();
    CHECK(slow.client.ReadSince(StoreTopic::kOperator, slow.end, kWait, yield)
              .has_error());
    CHECK(slow.loop.Now() - sent_at < kLostReadTime);
  });
}

// Guards against callers who get 404 on a route for as long as the store
// answers late.
TEST_CASE("A version is in force although the store answers late") {
  Deployment deployment(Duration{0});
  RunCoroutine(&deployment.loop, [&](Coroutine yield) {
    deployment.WaitUntilReady(yield);
    deployment.store.answer_delay = kSlowAnswer;
    deployment.loop.Sleep(std::chrono::seconds(3), yield);
    std::string next = kConfig;
    next.replace(next.find("\"version\": 1"), 12, "\"version\": 2");
    next.replace(next.find("/x/"), 3, "/y/");
    deployment.store.Put("keyed.op", "config", next);
    const MonotonicTime written_at = deployment.loop.Now();
    const MonotonicTime deadline = TestDeadline(&deployment.loop);
    while (!deployment.SendRequest(deployment.settings.callers, "/y/1", yield)
                .HasResponseStatus(200) &&
           deployment.loop.Now() < deadline) {
      deployment.loop.Sleep(std::chrono::milliseconds(50), yield);
    }
    CHECK(deployment.loop.Now() - written_at < 3 * kSlowAnswer);
  });
}

}  // namespace
}  // namespace kumquatcart
