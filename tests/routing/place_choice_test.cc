// Burst on groups of about the same load, chosen by many entry VMs at once.
#include "routing/place_choice.h"

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

constexpr int kGroups = 6;
constexpr int kSlots = 26;
constexpr int kNodes = 8;

TEST_CASE("A near group is preferred until it is clearly busier") {
  const std::vector<double> draws{0.5, 0.5};
  CHECK(ChoosePlace({{2, 26, false}, {3, 26, true}}, draws) == 1U);
  CHECK(ChoosePlace({{2, 26, false}, {20, 26, true}}, draws) == 0U);
}

TEST_CASE("Full groups are never chosen") {
  CHECK(!ChoosePlace({{26, 26, true}, {30, 26, true}}, {0, 0}));
  CHECK(ChoosePlace({{26, 26, true}, {25, 26, false}}, {0, 1}) == 1U);
  CHECK(!ChoosePlace({}, {}));
}

// Requests beyond the slots of the fullest group after every node has placed
// `each` requests from the same old counts plus its own.
int Overflow(int each, bool spreads) {
  std::minstd_rand generator(7);
  std::uniform_real_distribution<double> uniform(0, 1);
  const std::vector<int> told{20, 21, 20, 22, 21, 21};
  std::vector<int> real = told;
  for (int node = 0; node < kNodes; ++node) {
    std::vector<int> known = told;
    for (int request = 0; request < each; ++request) {
      std::vector<PlaceCandidate> candidates;
      std::vector<double> draws;
      for (const int taken : known) {
        candidates.push_back({taken, kSlots, true});
        draws.push_back(spreads ? uniform(generator) : 0);
      }
      const std::size_t chosen = *ChoosePlace(candidates, draws);
      ++known[chosen];
      ++real[chosen];
    }
  }
  return std::max(0, *std::max_element(real.begin(), real.end()) - kSlots);
}

TEST_CASE("Entry VMs that choose at once do not all take the same group") {
  static_assert(kGroups == 6, "the counts name six groups");
  // 150 ms of a busy day: two requests a node for one model.
  CHECK(Overflow(2, true) == 0);
  CHECK(Overflow(2, false) > 0);
}

}  // namespace
}  // namespace kumquatcart
