#include "routing/shared_retry_budget.h"

#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

const RetryLimits kBounds{0.2, 20, std::chrono::seconds(10)};
const MonotonicTime kStart{std::chrono::seconds(100)};

TEST_CASE("Retries stay within the bound in every window") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& gaps) {
    SharedRetryBudget budget(kBounds);
    MonotonicTime now = kStart;
    std::vector<MonotonicTime> requests;
    std::vector<MonotonicTime> retries;
    for (std::size_t i = 0; i < gaps.size(); ++i) {
      now += std::chrono::milliseconds(gaps[i] * 10);
      if (i % 3 == 0) {
        budget.NoteRequest("s", now);
        requests.push_back(now);
      } else if (budget.TryTake("s", now)) {
        retries.push_back(now);
        const auto in_window = [now](const std::vector<MonotonicTime>& times) {
          return std::count_if(times.begin(), times.end(), [now](auto time) {
            return now - time <= kBounds.window;
          });
        };
        RC_ASSERT(static_cast<double>(in_window(retries)) <=
                  kBounds.base +
                      kBounds.ratio * static_cast<double>(in_window(requests)));
      }
    }
  }));
}

TEST_CASE("Entry VMs share the base of the retry budget") {
  SharedRetryBudget budget(kBounds);
  budget.SetNodeCount(4);
  int taken = 0;
  while (budget.TryTake("s", kStart)) {
    ++taken;
  }
  CHECK(taken == 4);
  CHECK(budget.TryTake("other", kStart));
}

TEST_CASE("A check for available retries takes none") {
  SharedRetryBudget budget(kBounds);
  int taken = 0;
  while (budget.HasRetryLeft("s", kStart) && budget.HasRetryLeft("s", kStart)) {
    CHECK(budget.TryTake("s", kStart));
    ++taken;
  }
  CHECK(!budget.TryTake("s", kStart));
  CHECK(taken > 0);
}

TEST_CASE("A retry is allowed again after the window has passed") {
  SharedRetryBudget budget(kBounds);
  while (budget.TryTake("s", kStart)) {
  }
  CHECK(budget.TryTake("s", kStart + std::chrono::seconds(11)));
}

}  // namespace
}  // namespace kumquatcart
