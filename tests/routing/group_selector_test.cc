// Guards against entry VMs that all select the same group. In a burst they
// select at once from outdated counts, in which a group that has just opened
// appears empty.
#include "routing/group_selector.h"

#include <algorithm>
#include <numeric>
#include <random>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

constexpr int kSlots = 26;
constexpr int kNodes = 8;
constexpr int kDraws = 4000;

// Number of times that each candidate is selected in `kDraws` selections.
std::vector<int> Choices(const std::vector<GroupCandidate>& candidates,
                         const RequestDemand& demand) {
  std::minstd_rand generator(3);
  std::uniform_real_distribution<double> uniform(1e-9, 1);
  std::vector<int> chosen(candidates.size(), 0);
  for (int i = 0; i < kDraws; ++i) {
    std::vector<double> draws;
    for (std::size_t j = 0; j < candidates.size(); ++j) {
      draws.push_back(uniform(generator));
    }
    const std::optional<std::size_t> choice =
        SelectGroup(candidates, demand, draws);
    if (choice) {
      ++chosen[*choice];
    }
  }
  return chosen;
}

TEST_CASE("Groups are chosen by their free slots and their distance") {
  const std::vector<int> by_slots =
      Choices({{6, kSlots, true}, {16, kSlots, true}}, {});
  CHECK(by_slots[0] + by_slots[1] == kDraws);
  CHECK(by_slots[0] > 1.7 * by_slots[1]);
  CHECK(by_slots[0] < 2.3 * by_slots[1]);
  const std::vector<int> by_distance =
      Choices({{6, kSlots, true}, {6, kSlots, false}}, {});
  CHECK(by_distance[0] > 1.5 * by_distance[1]);
  CHECK(by_distance[1] > 0);
}

TEST_CASE("Full groups are never chosen") {
  CHECK(Choices({{26, kSlots, true}, {30, kSlots, true}}, {}) ==
        std::vector<int>{0, 0});
  CHECK(Choices({{26, kSlots, true}, {25, kSlots, false}}, {}) ==
        std::vector<int>{0, kDraws});
  CHECK(!SelectGroup({}, {}, {}));
}

// Requests that a newly opened group receives when every entry VM assigns
// `requests_per_node` requests at once, from the same outdated counts plus its
// own.
int CountAtNewGroup(int requests_per_node, bool takes_least_loaded) {
  std::minstd_rand generator(7);
  std::uniform_real_distribution<double> uniform(1e-9, 1);
  const std::vector<int> reported{0, 14, 12, 13, 14, 12};
  int at_new = 0;
  for (int node = 0; node < kNodes; ++node) {
    std::vector<int> known = reported;
    for (int request = 0; request < requests_per_node; ++request) {
      std::vector<GroupCandidate> candidates;
      std::vector<double> draws;
      for (const int taken : known) {
        candidates.push_back({taken, kSlots, true});
        draws.push_back(uniform(generator));
      }
      const auto least = static_cast<std::size_t>(
          std::min_element(known.begin(), known.end()) - known.begin());
      const std::size_t chosen =
          takes_least_loaded ? least : *SelectGroup(candidates, {}, draws);
      ++known[chosen];
      at_new += chosen == 0 ? 1 : 0;
    }
  }
  return at_new;
}

TEST_CASE("Entry VMs that select at once do not all select the new group") {
  // Requests per entry VM for one model in 150 ms under high load.
  constexpr int kRequestsPerNode = 2;
  CHECK(CountAtNewGroup(kRequestsPerNode, true) == kNodes * kRequestsPerNode);
  // More than an even share, since it is empty, but less than half of all.
  CHECK(CountAtNewGroup(kRequestsPerNode, false) >
        kNodes * kRequestsPerNode / 6);
  CHECK(CountAtNewGroup(kRequestsPerNode, false) <
        kNodes * kRequestsPerNode / 2);
}

TEST_CASE("Groups with fewer pending prompt tokens are preferred") {
  RequestDemand demand;
  demand.prompt_tokens = 1000;
  demand.prefill_budget = 10000;
  const std::vector<int> by_others =
      Choices({{10, 26, true, 8000, 0}, {10, 26, true, 0, 0}}, demand);
  CHECK(by_others[1] > 1.5 * by_others[0]);
  // Counts of this entry VM are exact and weigh more; prompts in the counts of
  // others may have been processed since.
  const std::vector<int> by_own =
      Choices({{10, 26, true, 8000, 8000}, {10, 26, true, 0, 0}}, demand);
  CHECK(by_own[1] > 4 * by_own[0]);
}

TEST_CASE("A prompt above the budget goes to a group without pending prompts") {
  RequestDemand demand;
  demand.prompt_tokens = 9000;
  demand.prefill_budget = 5000;
  demand.local_prefill_budget = 5000;
  CHECK(Choices({{3, 26, true, 10, 0}, {20, 26, true, 0, 0}}, demand) ==
        std::vector<int>{0, kDraws});
  CHECK(Choices({{3, 26, true, 10, 0}}, demand) == std::vector<int>{0});
}

TEST_CASE(
    "Late requests leave slots and budget to requests that can be on time") {
  RequestDemand late;
  late.prompt_tokens = 1000;
  late.prefill_budget = 5000;
  late.is_late = true;
  RequestDemand on_time = late;
  on_time.is_late = false;
  const std::vector<double> draw{0.5};
  CHECK(!SelectGroup({{24, 26, true, 0, 0}}, late, draw));
  CHECK(SelectGroup({{24, 26, true, 0, 0}}, on_time, draw) == 0U);
  CHECK(!SelectGroup({{2, 26, true, 2000, 0}}, late, draw));
  CHECK(SelectGroup({{2, 26, true, 2000, 0}}, on_time, draw) == 0U);
  CHECK(SelectGroup({{2, 26, true, 0, 0}}, late, draw) == 0U);
}

}  // namespace
}  // namespace kumquatcart
