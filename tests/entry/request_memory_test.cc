// Unfinished requests must not keep others out: without a choice by rate, those
// that came first hold the memory until their time is over, and without a part
// for small requests these are refused with the large ones.
#include "entry/request_memory.h"

#include <catch2/catch.hpp>

#include "entry/entry_constants.h"
#include "entry/memory_plan.h"
#include "net/event_loop.h"

namespace kumquatcart {
namespace {

constexpr std::size_t kLarge = 4 * 1024 * 1024;
constexpr std::size_t kSmall = 1024;
// Room for three large bodies, with their copies and the part of small ones.
constexpr std::size_t kCapacity = 7 * kLarge;
constexpr std::uint64_t kMegabyte = 1024 * 1024;

struct Requests {
  // A request that has sent `received` bytes of a large body since `began_at`.
  std::unique_ptr<ReadingRequest> Begin(std::size_t received,
                                        MonotonicTime began_at) {
    auto request = std::make_unique<ReadingRequest>(&this->memory, began_at,
                                                    &this->waiter);
    CHECK(request->Hold(kLarge, began_at));
    request->NoteReceived(received);
    return request;
  }

  EventLoop loop;
  Waiter waiter{&this->loop};
  MetricRegistry metrics;
  MemoryBudget budget{kCapacity};
  RequestMemory memory{&this->budget, &this->metrics};
  MonotonicTime start = this->loop.Now();
  MonotonicTime later = this->start + kMinReadTime;
};

TEST_CASE("A lease returns its bytes when it ends and moves them on") {
  MemoryBudget budget(10);
  {
    MemoryLease first(&budget, MemoryUse::kRequest);
    first.Set(12);
    CHECK(budget.Free() == 0);
    MemoryLease second = std::move(first);
    CHECK(budget.Held(MemoryUse::kRequest) == 12);
    second.Set(4);
    CHECK(budget.Free() == 6);
  }
  CHECK(budget.Held() == 0);
}

TEST_CASE("The slowest large request is ended for the next one") {
  Requests requests;
  const auto slow = requests.Begin(kSmall, requests.start);
  const auto fast = requests.Begin(kLarge - 1, requests.start);
  const auto other = requests.Begin(kLarge - 1, requests.start);
  ReadingRequest next(&requests.memory, requests.later, &requests.waiter);
  CHECK(next.Hold(kLarge, requests.later));
  CHECK(slow->WasEnded());
  CHECK_FALSE(fast->WasEnded());
  CHECK_FALSE(other->WasEnded());
  CHECK(requests.budget.Held() <= kCapacity);
}

TEST_CASE("Requests that have just begun are not ended for others") {
  Requests requests;
  const auto first = requests.Begin(kSmall, requests.later);
  const auto second = requests.Begin(kSmall, requests.later);
  const auto third = requests.Begin(kSmall, requests.later);
  ReadingRequest next(&requests.memory, requests.later, &requests.waiter);
  CHECK_FALSE(next.Hold(kLarge, requests.later));
  CHECK_FALSE(first->WasEnded());
}

TEST_CASE("A slow request that grows is refused before faster ones are ended") {
  Requests requests;
  const auto first = requests.Begin(kLarge - 1, requests.start);
  const auto second = requests.Begin(kLarge - 1, requests.start);
  const auto third = requests.Begin(kLarge - 1, requests.start);
  ReadingRequest slow(&requests.memory, requests.start, &requests.waiter);
  CHECK(slow.Hold(kSmall, requests.start));
  slow.NoteReceived(kSmall);
  CHECK_FALSE(slow.Hold(kLarge, requests.later));
  CHECK_FALSE(first->WasEnded());
}

TEST_CASE("Large requests leave room for small ones") {
  Requests requests;
  const auto first = requests.Begin(kLarge - 1, requests.later);
  const auto second = requests.Begin(kLarge - 1, requests.later);
  const auto third = requests.Begin(kLarge - 1, requests.later);
  ReadingRequest small(&requests.memory, requests.later, &requests.waiter);
  CHECK(small.Hold(kSmall, requests.later));
  CHECK_FALSE(first->WasEnded());
}

TEST_CASE("A complete request holds its memory until it is forwarded") {
  Requests requests;
  MemoryLease lease;
  {
    const auto request = requests.Begin(kLarge, requests.start);
    lease = request->TakeLease();
  }
  CHECK(requests.budget.Held() == 2 * kLarge);
  lease = MemoryLease();
  CHECK(requests.budget.Held() == 0);
}

TEST_CASE("Settings without room for one request are an error") {
  ProcessSettings settings;
  CHECK(CheckMemory(settings).has_value());
  settings.memory_bytes = 48 * kMegabyte;
  CHECK(CheckMemory(settings).has_error());
  settings.memory_bytes = 96 * kMegabyte;
  CHECK(CheckMemory(settings).has_value());
  settings.descriptors = 264;
  CHECK(CheckMemory(settings).has_error());
}

TEST_CASE("Callers never take all descriptors") {
  ProcessSettings settings;
  settings.memory_bytes = 512 * kMegabyte;
  settings.descriptors = 4100;
  // Each may need one more for its server; 200 are for files.
  CHECK(2 * PlanMemory(settings).caller_connections < 4100 - 200);
}

}  // namespace
}  // namespace kumquatcart
