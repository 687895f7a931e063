// Burst on groups that many entry VMs choose at once from old counts, one of
// which has just opened and looks empty.
#include "routing/place_choice.h"

#include <algorithm>
#include <numeric>
#include <random>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

constexpr int kSlots = 26;
constexpr int kNodes = 8;
constexpr int kDraws = 4000;

// How often each candidate is chosen of `kDraws` times.
std::vector<int> Choices(const std::vector<PlaceCandidate>& candidates,
                         const PlaceDemand& demand) {
  std::minstd_rand generator(3);
  std::uniform_real_distribution<double> uniform(1e-9, 1);
  std::vector<int> chosen(candidates.size(), 0);
  for (int i = 0; i < kDraws; ++i) {
    std::vector<double> draws;
    for (std::size_t j = 0; j < candidates.size(); ++j) {
      draws.push_back(uniform(generator));
    }
    const std::optional<std::size_t> choice =
        ChoosePlace(candidates, demand, draws);
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
  CHECK(!ChoosePlace({}, {}, {}));
}

// Requests that the group which has just opened gets, of those that every node
// places at one moment from the same old counts plus its own.
int AtNewGroup(int each, bool takes_least_loaded) {
  std::minstd_rand generator(7);
  std::uniform_real_distribution<double> uniform(1e-9, 1);
  const std::vector<int> told{0, 14, 12, 13, 14, 12};
  int at_new = 0;
  for (int node = 0; node < kNodes; ++node) {
    std::vector<int> known = told;
    for (int request = 0; request < each; ++request) {
      std::vector<PlaceCandidate> candidates;
      std::vector<double> draws;
      for (const int taken : known) {
        candidates.push_back({taken, kSlots, true});
        draws.push_back(uniform(generator));
      }
      const auto least = static_cast<std::size_t>(
          std::min_element(known.begin(), known.end()) - known.begin());
      const std::size_t chosen =
          takes_least_loaded ? least : *ChoosePlace(candidates, {}, draws);
      ++known[chosen];
      at_new += chosen == 0 ? 1 : 0;
    }
  }
  return at_new;
}

TEST_CASE("Entry VMs that choose at once do not all take the new group") {
  // 150 ms of a busy day: two requests a node for one model.
  constexpr int kEach = 2;
  CHECK(AtNewGroup(kEach, true) == kNodes * kEach);
  // More than an even share, as it is empty, and by far not all.
  CHECK(AtNewGroup(kEach, false) > kNodes * kEach / 6);
  CHECK(AtNewGroup(kEach, false) < kNodes * kEach / 2);
}

TEST_CASE("Prompts go where least is to be read") {
  PlaceDemand demand;
  demand.prompt_tokens = 1000;
  demand.room = 10000;
  const std::vector<int> by_others =
      Choices({{10, 26, true, 8000, 0}, {10, 26, true, 0, 0}}, demand);
  CHECK(by_others[1] > 1.5 * by_others[0]);
  // The own prompts are surely there; those of others may be read by now.
  const std::vector<int> by_own =
      Choices({{10, 26, true, 8000, 8000}, {10, 26, true, 0, 0}}, demand);
  CHECK(by_own[1] > 4 * by_own[0]);
}

TEST_CASE("A prompt larger than the room is read where nothing else waits") {
  PlaceDemand demand;
  demand.prompt_tokens = 9000;
  demand.room = 5000;
  demand.own_room = 5000;
  CHECK(Choices({{3, 26, true, 10, 0}, {20, 26, true, 0, 0}}, demand) ==
        std::vector<int>{0, kDraws});
  CHECK(Choices({{3, 26, true, 10, 0}}, demand) == std::vector<int>{0});
}

TEST_CASE("Late requests leave slots and room to those that can be on time") {
  PlaceDemand late;
  late.prompt_tokens = 1000;
  late.room = 5000;
  late.is_late = true;
  PlaceDemand on_time = late;
  on_time.is_late = false;
  const std::vector<double> draw{0.5};
  CHECK(!ChoosePlace({{24, 26, true, 0, 0}}, late, draw));
  CHECK(ChoosePlace({{24, 26, true, 0, 0}}, on_time, draw) == 0U);
  CHECK(!ChoosePlace({{2, 26, true, 2000, 0}}, late, draw));
  CHECK(ChoosePlace({{2, 26, true, 2000, 0}}, on_time, draw) == 0U);
  CHECK(ChoosePlace({{2, 26, true, 0, 0}}, late, draw) == 0U);
}

}  // namespace
}  // namespace kumquatcart
