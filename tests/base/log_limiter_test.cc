#include "base/log_limiter.h"

#include <chrono>
#include <optional>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("The first line is admitted with none suppressed") {
  LogLimiter limiter(seconds(1));
  REQUIRE(limiter.Pass(MonotonicTime()) == 0);
}

TEST_CASE("Lines within the interval are counted for the next admitted one") {
  LogLimiter limiter(seconds(1));
  const MonotonicTime start;
  limiter.Pass(start);
  REQUIRE_FALSE(limiter.Pass(start).has_value());
  REQUIRE_FALSE(limiter.Pass(start + milliseconds(999)).has_value());
  REQUIRE(limiter.Pass(start + seconds(1)) == 2);
  REQUIRE(limiter.Pass(start + seconds(2)) == 0);
}

// Guards against logs that a repeated event fills, and against events that no
// line accounts for.
TEST_CASE("Admitted lines are an interval apart and account for all others") {
  rc::prop("over any sequence of times", [] {
    const Duration interval = milliseconds(*rc::gen::inRange(1, 1000));
    LogLimiter limiter(interval);
    MonotonicTime now;
    std::optional<MonotonicTime> last;
    int calls = 0;
    int accounted = 0;
    for (const int step :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500))) {
      now += milliseconds(step);
      ++calls;
      const std::optional<int> suppressed = limiter.Pass(now);
      if (!suppressed.has_value()) {
        RC_ASSERT(now - *last < interval);
        continue;
      }
      RC_ASSERT(!last.has_value() || now - *last >= interval);
      last = now;
      accounted += *suppressed + 1;
      RC_ASSERT(accounted == calls);
    }
  });
}

}  // namespace
}  // namespace kumquatcart
