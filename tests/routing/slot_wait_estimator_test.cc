// Guards against requests that wait in vain for a slot and so make later ones
// late. In a burst, more requests arrive than saturated groups have slots for
// some seconds.
#include "routing/slot_wait_estimator.h"

#include <algorithm>
#include <deque>
#include <vector>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

const MonotonicTime kStart{std::chrono::seconds(100)};
constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kServiceTime = std::chrono::seconds(1);
constexpr Duration kMaxUsefulWait = std::chrono::milliseconds(160);
constexpr int kSlots = 8;
// 14.3 arrivals per second: 1.8 times the rate that the slots can serve.
constexpr int kArrivalTicks = 7;

struct Outcome {
  int in_time = 0;  // Got a slot within the maximum useful wait.
  int late = 0;
  int refused_at_once = 0;
  int refused_later = 0;  // Refused after a wait.
};

// Simulates a burst of `length`. Without a forecast, every request waits.
Outcome SimulateBurst(bool with_forecast, Duration length) {
  SlotWaitEstimator estimator;
  Outcome outcome;
  std::deque<MonotonicTime> queue;
  std::vector<MonotonicTime> busy_until(kSlots, kStart);
  // All slots are in use at first and become free one after another.
  for (int i = 0; i < kSlots; ++i) {
    busy_until[static_cast<std::size_t>(i)] =
        kStart + kServiceTime * i / kSlots;
  }
  for (int i = 2 * kSlots; i > 0; --i) {
    estimator.RecordRelease("m", kStart - kServiceTime * i / kSlots);
  }
  int tick = 0;
  for (MonotonicTime now = kStart; now < kStart + length; now += kTick) {
    if (tick++ % kArrivalTicks == 0) {
      const Duration wait =
          estimator.EstimateWait("m", static_cast<int>(queue.size()), now);
      const bool starts_at_once =
          queue.empty() &&
          std::any_of(busy_until.begin(), busy_until.end(),
                      [now](MonotonicTime until) { return until <= now; });
      if (with_forecast && !starts_at_once && wait > kMaxUsefulWait) {
        ++outcome.refused_at_once;
      } else {
        queue.push_back(now);
      }
    }
    while (with_forecast && !queue.empty() &&
           now - queue.front() > kMaxUsefulWait) {
      queue.pop_front();
      ++outcome.refused_later;
    }
    for (MonotonicTime& until : busy_until) {
      if (until <= now && !queue.empty()) {
        (now - queue.front() <= kMaxUsefulWait ? outcome.in_time
                                               : outcome.late)++;
        queue.pop_front();
        until = now + kServiceTime;
        estimator.RecordRelease("m", now);
      }
    }
  }
  return outcome;
}

TEST_CASE("In a burst, immediate refusal serves more requests in time") {
  const Outcome naive = SimulateBurst(false, std::chrono::seconds(10));
  const Outcome forecast = SimulateBurst(true, std::chrono::seconds(10));
  CHECK(forecast.in_time >= 3 * naive.in_time);
  // All slots stay in use: refusals do not reduce the throughput.
  CHECK(forecast.in_time + forecast.late >=
        naive.in_time + naive.late - kSlots);
  CHECK(forecast.refused_later <= forecast.refused_at_once / 4);
}

TEST_CASE("The expected wait grows with the queue and shrinks with the rate") {
  SlotWaitEstimator estimator;
  CHECK(estimator.EstimateWait("m", 0, kStart) == std::chrono::seconds(2));
  for (int i = 0; i < 20; ++i) {
    estimator.RecordRelease("m", kStart);
  }
  CHECK(estimator.EstimateWait("m", 0, kStart) ==
        std::chrono::milliseconds(100));
  CHECK(estimator.EstimateWait("m", 4, kStart) ==
        std::chrono::milliseconds(500));
  CHECK(estimator.EstimateWait("m", 0, kStart + std::chrono::seconds(3)) ==
        std::chrono::seconds(2));
}

TEST_CASE(
    "Retry-After of callers that are refused together has jitter and limits") {
  const Duration expected = std::chrono::milliseconds(400);
  CHECK(JitteredRetryAfter(expected, 0) == expected);
  CHECK(JitteredRetryAfter(expected, 0.5) == std::chrono::milliseconds(600));
  CHECK(JitteredRetryAfter(Duration{0}, 0) == std::chrono::milliseconds(100));
  CHECK(JitteredRetryAfter(std::chrono::seconds(9), 0) ==
        std::chrono::milliseconds(2500));
}

}  // namespace
}  // namespace kumquatcart
