#include "routing/shared_retry_budget.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

const RetryLimits kBounds{0.2, 20, std::chrono::seconds(10)};
const MonotonicTime kStart{std::chrono::seconds(100)};

// A budget of `nodes` entry VMs, of which this one has run for a whole window.
SharedRetryBudget MakeBudget(int nodes) {
  SharedRetryBudget budget(kBounds, kStart - kBounds.window);
  budget.SetNodeCount(nodes);
  return budget;
}

TEST_CASE("Retries stay within the bound in every window") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& gaps) {
    SharedRetryBudget budget = MakeBudget(1);
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
  SharedRetryBudget budget = MakeBudget(4);
  int taken = 0;
  while (budget.TryTake("s", kStart)) {
    ++taken;
  }
  CHECK(taken == 4);
  CHECK(budget.TryTake("other", kStart));
}

TEST_CASE("A check for available retries takes none") {
  SharedRetryBudget budget = MakeBudget(1);
  int taken = 0;
  while (budget.HasRetryLeft("s", kStart) && budget.HasRetryLeft("s", kStart)) {
    CHECK(budget.TryTake("s", kStart));
    ++taken;
  }
  CHECK(!budget.TryTake("s", kStart));
  CHECK(taken > 0);
}

TEST_CASE("A retry is allowed again after the window has passed") {
  SharedRetryBudget budget = MakeBudget(1);
  while (budget.TryTake("s", kStart)) {
  }
  CHECK(budget.TryTake("s", kStart + std::chrono::seconds(11)));
}

// Takes retries until none is left, and returns their number.
int TakeAll(SharedRetryBudget* budget, MonotonicTime now) {
  int taken = 0;
  while (budget->TryTake("s", now)) {
    ++taken;
  }
  return taken;
}

TEST_CASE("The base is not used while the number of entry VMs is unknown") {
  SharedRetryBudget budget(kBounds, kStart - kBounds.window);
  CHECK(TakeAll(&budget, kStart) == 0);
  for (int i = 0; i < 20; ++i) {
    budget.NoteRequest("s", kStart);
  }
  CHECK(TakeAll(&budget, kStart) == 3);
}

// Guards against a base that is used once for each start: a process that starts
// has not seen what its predecessor took in the same window.
TEST_CASE("Restarts of all entry VMs do not renew the base") {
  constexpr int kNodes = 5;
  for (const Duration gap :
       {std::chrono::milliseconds(500), std::chrono::milliseconds(4400),
        std::chrono::milliseconds(9900)}) {
    std::vector<std::optional<SharedRetryBudget>> budgets(kNodes,
                                                          MakeBudget(kNodes));
    std::vector<MonotonicTime> taken;
    MonotonicTime now = kStart;
    for (int restart = 0; restart < 8; ++restart) {
      for (std::optional<SharedRetryBudget>& budget : budgets) {
        const int count = TakeAll(&*budget, now);
        taken.insert(taken.end(), count, now);
        budget.emplace(kBounds, now);
        budget->SetNodeCount(kNodes);
      }
      now += gap;
    }
    for (const MonotonicTime begin : taken) {
      const auto in_window =
          std::count_if(taken.begin(), taken.end(), [begin](auto time) {
            return time >= begin && time - begin <= kBounds.window;
          });
      CHECK(static_cast<double>(in_window) <= kBounds.base);
    }
  }
}

}  // namespace
}  // namespace kumquatcart
