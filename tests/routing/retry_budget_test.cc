#include "routing/retry_budget.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

TEST_CASE("Retries stay within the budget that first attempts add") {
  rc::prop("for any order of first attempts and retries", [] {
    RetryBudget budget(0.2, 10);
    double first_attempts = 0;
    double retries = 0;
    const auto order =
        *rc::gen::container<std::vector<bool>>(500, rc::gen::arbitrary<bool>());
    for (const bool is_retry : order) {
      if (!is_retry) {
        budget.RecordFirstAttempt();
        ++first_attempts;
      } else if (budget.TryTakeRetry()) {
        ++retries;
      }
      RC_ASSERT(retries <= 10 + 0.2 * first_attempts + 1e-6);
    }
  });
}

}  // namespace
}  // namespace kumquatcart
