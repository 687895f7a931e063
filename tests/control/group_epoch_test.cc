// Epochs of group records over returns of the store to older copies.
#include <algorithm>
#include <cstdint>
#include <set>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "control/group_record_codec.h"

namespace kumquatcart {
namespace {

// One append that a planner has sent, on condition that the topic ends at `at`.
struct Append {
  std::int64_t at = 0;
  std::int64_t epoch = 0;
};

// The store's topic of groups, as epochs by offset, and its older states.
struct GroupTopic {
  StoreEra era = 0;
  std::vector<std::int64_t> epochs;
  std::vector<std::vector<std::int64_t>> copies;

  // Returns whether the condition held.
  bool Carry(const Append& append) {
    if (append.at != static_cast<std::int64_t>(this->epochs.size())) {
      return false;
    }
    this->copies.push_back(this->epochs);
    this->epochs.push_back(append.epoch);
    return true;
  }
};

// A planner and what it has read.
struct Planner {
  TopicPosition position;
  std::int64_t highest = 0;

  void Read(const GroupTopic& topic) {
    this->position = {topic.era,
                      static_cast<std::int64_t>(topic.epochs.size())};
    for (const std::int64_t epoch : topic.epochs) {
      this->highest = std::max(this->highest, epoch);
    }
  }
};

// Guards against two records with one epoch: the orders of one are then taken
// for those of the other. Appends may be carried out late, by planners that
// have not seen that the store came back, and into any later history.
TEST_CASE("No two records ever get the same epoch") {
  CHECK(rc::check("no two records get the same epoch", [] {
    GroupTopic topic;
    std::vector<Planner> planners(3);
    std::vector<Append> late;
    std::set<std::int64_t> given;
    std::uint32_t nonce = *rc::gen::arbitrary<std::uint32_t>();
    std::int64_t highest_of_former_eras = 0;
    const auto carry = [&](const Append& append) {
      if (topic.Carry(append)) {
        RC_ASSERT(given.insert(append.epoch).second);
        RC_ASSERT(append.epoch <= kMaxEpoch);
      }
    };
    const int steps = *rc::gen::inRange(1, 150);
    for (int i = 0; i < steps; ++i) {
      Planner& planner = planners[*rc::gen::inRange<std::size_t>(0, 3)];
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          planner.Read(topic);
          break;
        case 1:
          planner = Planner();  // Starts again.
          planner.Read(topic);
          break;
        case 2:
        case 3: {
          const Append append{
              planner.position.offset,
              MakeEpoch(planner.position, planner.highest, nonce++)};
          // Orders of a lost record that are carried out late have no effect.
          if (planner.position.era == topic.era) {
            RC_ASSERT(append.epoch > highest_of_former_eras);
          }
          if (*rc::gen::inRange(0, 3) == 0) {
            late.push_back(append);
          } else {
            carry(append);
          }
          break;
        }
        case 4:
          if (!late.empty()) {
            carry(late.back());
            late.pop_back();
          }
          break;
        default:
          if (!topic.copies.empty() && *rc::gen::inRange(0, 3) == 0) {
            topic.epochs = topic.copies[*rc::gen::inRange<std::size_t>(
                0, topic.copies.size())];
            ++topic.era;
            highest_of_former_eras = given.empty() ? 0 : *given.rbegin();
          }
          break;
      }
    }
  }));
}

TEST_CASE("Epochs follow the positions of their records") {
  std::int64_t last = 0;
  for (const TopicPosition& at :
       {TopicPosition{0, 0}, TopicPosition{0, 1}, TopicPosition{0, 900},
        TopicPosition{1, 0}, TopicPosition{1, 7}, TopicPosition{2, 3}}) {
    for (const std::uint32_t nonce : {0U, 1021U, 1022U, 0xFFFFFFFFU}) {
      CHECK(MakeEpoch(at, 0, nonce) > last);
      CHECK(MakeEpoch(at, 0, nonce) > EpochBefore(at));
    }
    CHECK(EpochBefore(at) >= last);
    last = MakeEpoch(at, 0, 1021);
  }
  // Higher than any known one, such as those of a store that states no era.
  CHECK(MakeEpoch({0, 5}, last, 0) > last);
  // Of records of earlier versions.
  CHECK(EpochAt(41) < MakeEpoch({0, 42}, EpochAt(41), 0));
}

TEST_CASE("Epochs of the last era and offset fit a double") {
  const TopicPosition last{kMaxEpochEra,
                           (std::int64_t{1} << kEpochOffsetBits) - 1};
  CHECK(MakeEpoch(last, 0, 1021) <= kMaxEpoch);
  CHECK(EpochBefore({kMaxEpochEra + 1, 5}) == EpochBefore({kMaxEpochEra, 5}));
}

}  // namespace
}  // namespace kumquatcart
