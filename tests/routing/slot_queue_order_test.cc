// Guards against a backlog of late requests that makes new requests late too.
// After an outage, requests that waited through it and new ones together exceed
// the free slots.
#include "routing/slot_queue_order.h"

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

const MonotonicTime kStart{std::chrono::seconds(100)};

TEST_CASE("Requests that can be on time go before late ones") {
  const QueuedRequest late{"m", kStart - milliseconds(1), kStart};
  const QueuedRequest fresh{"m", kStart + milliseconds(50), kStart};
  const QueuedRequest urgent{"m", kStart + milliseconds(10), kStart};
  CHECK(IsServedBefore(fresh, late, kStart));
  CHECK(!IsServedBefore(late, fresh, kStart));
  CHECK(IsServedBefore(urgent, fresh, kStart));
  // Among late requests, the one that was queued first comes first.
  const MonotonicTime later = kStart + milliseconds(100);
  const QueuedRequest queued_later{"m", kStart, kStart + milliseconds(5)};
  CHECK(IsServedBefore(fresh, queued_later, later));
  CHECK(!IsServedBefore(queued_later, fresh, later));
}

TEST_CASE("The queue order is irreflexive") {
  const QueuedRequest request{"m", kStart, kStart};
  CHECK(!IsServedBefore(request, request, kStart));
  CHECK(!IsServedBefore(request, request, kStart + milliseconds(1)));
}

struct Served {
  int on_time = 0;
  int late = 0;
};

// Starts with 120 late requests; 40 new ones arrive per second, and one slot
// becomes free every 20 ms.
Served SimulateRecovery(bool in_order_of_arrival) {
  constexpr int kBacklog = 120;
  constexpr int kSteps = 300;
  std::vector<QueuedRequest> queue(
      kBacklog, QueuedRequest{"m", kStart - milliseconds(500), kStart});
  Served served;
  for (int step = 0; step < kSteps; ++step) {
    const MonotonicTime now = kStart + step * milliseconds(20);
    if (step % 5 != 0) {
      queue.push_back({"m", now + milliseconds(160), now});
    }
    if (queue.empty()) {
      continue;
    }
    const auto first = std::min_element(
        queue.begin(), queue.end(),
        [&](const QueuedRequest& left, const QueuedRequest& right) {
          return in_order_of_arrival ? left.queued_at < right.queued_at
                                     : IsServedBefore(left, right, now);
        });
    ++(IsLate(*first, now) ? served.late : served.on_time);
    queue.erase(first);
  }
  return served;
}

TEST_CASE("A backlog of late requests does not make the new ones late") {
  const Served fifo = SimulateRecovery(true);
  const Served ordered = SimulateRecovery(false);
  CHECK(fifo.on_time < 100);
  CHECK(ordered.on_time == 240);
  // Both orders serve the same number of requests.
  CHECK(ordered.on_time + ordered.late == fifo.on_time + fifo.late);
}

}  // namespace
}  // namespace kumquatcart
