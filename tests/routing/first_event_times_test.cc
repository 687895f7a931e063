// A burst that exceeds the slots: requests are queued, and those that can still
// be on time are served by their latest start. If that start leaves less than
// the servers need for the first event, all answers are late although most of
// them could have been on time.
#include "routing/first_event_times.h"

#include <algorithm>
#include <list>
#include <map>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "routing/slot_queue_order.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTarget = milliseconds(300);
constexpr Duration kFirstEvent = milliseconds(190);
constexpr Duration kMinRun = milliseconds(400);
constexpr Duration kMaxRun = milliseconds(2000);
constexpr int kSlots = 260;

// Share of the requests that get their first event within the target, with
// `overload` times as many as the slots can run.
double PlayBurst(Duration max_queue_time, double overload) {
  std::minstd_rand random(3);
  const MonotonicTime start{std::chrono::seconds(100)};
  std::list<QueuedRequest> queue;
  std::multimap<MonotonicTime, int> ends;
  int arrived = 0;
  int on_time = 0;
  const double per_ms =
      overload * kSlots * 2 / static_cast<double>(ToMillis(kMinRun + kMaxRun));
  std::uniform_int_distribution<int> run(static_cast<int>(ToMillis(kMinRun)),
                                         static_cast<int>(ToMillis(kMaxRun)));
  std::poisson_distribution<int> arrivals(per_ms);
  for (MonotonicTime now = start; now < start + std::chrono::seconds(14);
       now += milliseconds(1)) {
    ends.erase(ends.begin(), ends.upper_bound(now));
    for (int left = arrivals(random); left > 0; --left) {
      queue.push_back({"m", now + max_queue_time, now});
      ++arrived;
    }
    queue.remove_if([now](const QueuedRequest& request) {
      return now - request.queued_at > milliseconds(1300);
    });
    while (!queue.empty() && ends.size() < kSlots) {
      const auto next = std::min_element(
          queue.begin(), queue.end(),
          [now](const QueuedRequest& left, const QueuedRequest& right) {
            return IsServedBefore(left, right, now);
          });
      on_time += now + kFirstEvent - next->queued_at <= kTarget ? 1 : 0;
      ends.emplace(now + milliseconds(run(random)), 0);
      queue.erase(next);
    }
  }
  return static_cast<double>(on_time) / arrived;
}

TEST_CASE("In a burst the requests that get a slot are on time") {
  FirstEventTimes times;
  for (int i = 0; i < 20; ++i) {
    times.Record("m", kFirstEvent + milliseconds(i % 5));
  }
  const Duration learned = MaxQueueTime(kTarget, times.Typical("m"));
  const Duration fixed = MaxQueueTime(kTarget, std::nullopt);
  for (const double overload : {1.1, 1.3, 1.6}) {
    CAPTURE(overload);
    const double on_time = PlayBurst(learned, overload);
    // As many as there are slots for, less those that were late at the start.
    CHECK(on_time > 0.8 / overload);
    CHECK(on_time > 1.2 * PlayBurst(fixed, overload));
  }
}

TEST_CASE("The queueing time follows the recent times of the model") {
  FirstEventTimes times;
  CHECK_FALSE(times.Typical("m"));
  for (int i = 0; i < 40; ++i) {
    times.Record("m", milliseconds(100));
  }
  CHECK(times.Typical("m") == milliseconds(100));
  CHECK_FALSE(times.Typical("other"));
  // A few requests whose group lost a member change nothing.
  for (int i = 0; i < 6; ++i) {
    times.Record("m", milliseconds(2000));
  }
  CHECK(times.Typical("m") == milliseconds(100));
  for (int i = 0; i < 40; ++i) {
    times.Record("m", milliseconds(240));
  }
  CHECK(times.Typical("m") == milliseconds(240));
}

TEST_CASE("The queueing time is bounded by fractions of the target") {
  CHECK(MaxQueueTime(kTarget, std::nullopt) == milliseconds(120));
  CHECK(MaxQueueTime(kTarget, milliseconds(10)) == milliseconds(120));
  CHECK(MaxQueueTime(kTarget, milliseconds(200)) == milliseconds(100));
  CHECK(MaxQueueTime(kTarget, milliseconds(5000)) == milliseconds(45));
}

}  // namespace
}  // namespace kumquatcart
