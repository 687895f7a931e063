#include "base/clock.h"

#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

TEST_CASE("ManualClock fires timers in due order at their due time") {
  rc::prop("each callback runs at its own due time",
           [](const std::vector<std::uint16_t>& delays) {
             ManualClock clock;
             const MonotonicTime start = clock.Now();
             std::vector<Duration> fired;
             for (const std::uint16_t delay : delays) {
               clock.CallAfter(milliseconds(delay),
                               [&] { fired.push_back(clock.Now() - start); });
             }
             clock.Advance(milliseconds(70000));
             std::vector<Duration> expected(delays.size());
             std::transform(
                 delays.begin(), delays.end(), expected.begin(),
                 [](std::uint16_t delay) { return milliseconds(delay); });
             std::sort(expected.begin(), expected.end());
             RC_ASSERT(fired == expected);
           });
}

TEST_CASE("ManualClock never fires a cancelled timer") {
  ManualClock clock;
  bool fired = false;
  const TimerId timer = clock.CallAfter(milliseconds(5), [&] { fired = true; });
  REQUIRE(clock.Cancel(timer));
  REQUIRE_FALSE(clock.Cancel(timer));
  clock.Advance(milliseconds(10));
  REQUIRE_FALSE(fired);
}

TEST_CASE("ManualClock does not fire timers on Jump but on the next Advance") {
  ManualClock clock;
  int fired = 0;
  clock.CallAfter(milliseconds(5), [&] { ++fired; });
  clock.Jump(milliseconds(50));
  REQUIRE(fired == 0);
  clock.Advance(milliseconds(0));
  REQUIRE(fired == 1);
}

}  // namespace
}  // namespace kumquatcart
