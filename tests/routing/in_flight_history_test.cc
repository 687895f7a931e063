#include "routing/in_flight_history.h"

#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

constexpr Duration kHistory = milliseconds(1000);

// Reference implementation that keeps every start and finish, and counts by
// iterating over all of them.
struct ReferenceLedger {
  struct Event {
    MonotonicTime time;
    int change = 0;
  };

  std::vector<Event> events;

  int InFlightAt(MonotonicTime when) const {
    int count = 0;
    for (const Event& event : this->events) {
      count += event.time <= when ? event.change : 0;
    }
    return count;
  }
};

TEST_CASE(
    "In-flight counts and estimates agree with a reference implementation") {
  rc::prop("for times within the kept history", [] {
    ManualClock clock;
    InFlightHistory history(kHistory);
    ReferenceLedger reference;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      clock.Advance(milliseconds(*rc::gen::inRange(0, 200)));
      const MonotonicTime now = clock.Now();
      if (reference.InFlightAt(now) > 0 && *rc::gen::arbitrary<bool>()) {
        history.Finish(now);
        reference.events.push_back({now, -1});
      } else {
        history.Start(now);
        reference.events.push_back({now, 1});
      }
      const int age = *rc::gen::inRange(0, 1000);
      const MonotonicTime then = now - milliseconds(age);
      RC_ASSERT(history.InFlight() == reference.InFlightAt(now));
      RC_ASSERT(history.InFlightAt(then) == reference.InFlightAt(then));
      EngineLoad report;
      report.running = *rc::gen::inRange(0, 20);
      report.age_ms = age;
      const int expected = std::max(reference.InFlightAt(now),
                                    report.running + reference.InFlightAt(now) -
                                        reference.InFlightAt(then));
      RC_ASSERT(history.Estimate(report, now) == expected);
    }
  });
}

}  // namespace
}  // namespace kumquatcart
