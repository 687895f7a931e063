#include "base/token_bucket.h"

#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

TEST_CASE("No time window exceeds the rate plus the burst") {
  rc::prop("over every pair of spendings", [] {
    ManualClock clock;
    const double rate = *rc::gen::inRange(1, 50);
    TokenBucket bucket(rate, milliseconds(1000), clock.Now());
    struct Deduction {
      MonotonicTime time;
      double cost;
    };
    std::vector<Deduction> deductions;
    for (int step = 0; step < 100; ++step) {
      clock.Advance(milliseconds(*rc::gen::inRange(0, 300)));
      if (bucket.HasCredit(clock.Now())) {
        const double cost = *rc::gen::inRange(1, 5);
        bucket.Spend(cost, clock.Now());
        deductions.push_back({clock.Now(), cost});
      }
    }
    for (std::size_t first = 0; first < deductions.size(); ++first) {
      double sum = 0;
      for (std::size_t last = first; last < deductions.size(); ++last) {
        sum += deductions[last].cost;
        const std::chrono::duration<double> window =
            deductions[last].time - deductions[first].time;
        // The burst, the refill during the window, and the overdraft of at most
        // 4 by the last deduction.
        RC_ASSERT(sum <= rate * (1.0 + window.count()) + 4 + 1e-6);
      }
    }
  });
}

TEST_CASE("Credit becomes available at the end of the reported wait") {
  rc::prop("credit is available after the wait and not before", [] {
    ManualClock clock;
    TokenBucket bucket(*rc::gen::inRange(1, 100), milliseconds(500),
                       clock.Now());
    bucket.Spend(*rc::gen::inRange(100, 200), clock.Now());
    const Duration wait = bucket.TimeUntilCredit(clock.Now());
    RC_ASSERT(wait > Duration(0));
    clock.Advance(wait - std::chrono::microseconds(1));
    RC_ASSERT(!bucket.HasCredit(clock.Now()) ||
              wait >= std::chrono::minutes(1));
    clock.Advance(std::chrono::microseconds(2));
    RC_ASSERT(bucket.HasCredit(clock.Now()) || wait >= std::chrono::minutes(1));
  });
}

}  // namespace
}  // namespace kumquatcart
