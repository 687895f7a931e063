// Random walks of planners; see planner_walk.h.
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <catch2/catch.hpp>

#include "entry/planner_walk.h"
#include "fakes/loop_server.h"

namespace kumquatcart {
namespace {

// Runs the walks at once, since they mostly wait.
std::vector<WalkResult> RunWalks(const std::vector<WalkSettings>& settings) {
  EventLoop loop;
  std::vector<std::unique_ptr<PlannerWalk>> walks;
  std::size_t running = settings.size();
  for (const WalkSettings& one : settings) {
    walks.push_back(std::make_unique<PlannerWalk>(&loop, one));
    loop.Spawn([&loop, &running, walk = walks.back().get()](Coroutine yield) {
      walk->Run(yield);
      if (--running == 0) {
        loop.Stop();
      }
    });
  }
  loop.Run();
  loop.UnwindCoroutines();
  std::vector<WalkResult> results;
  for (std::size_t i = 0; i < walks.size(); ++i) {
    results.push_back(walks[i]->Result());
    WalkResult& result = results.back();
    std::printf(
        "walk %u: joins %d, orders %d, conflicts %d; head serves %d, under "
        "another epoch %d, of the group left %d; opened incomplete %zu; "
        "listed twice %d; recovered after %lld ms %s\n",
        settings[i].seed, result.joins, result.orders, result.conflicts,
        result.faults[JoinFault::kHeadServes],
        result.faults[JoinFault::kHeadServesOther],
        result.faults[JoinFault::kHeadServesLeft],
        result.opened_incomplete.size(), result.listed_twice,
        static_cast<long long>(
            result.recovered_after ? ToMillis(*result.recovered_after) : -1),
        result.unrecovered.c_str());
    for (const std::string& detail : result.details) {
      std::printf("%s\n", detail.c_str());
    }
  }
  return results;
}

std::vector<WalkSettings> MakeSettings(std::uint32_t first,
                                       std::uint32_t count,
                                       WalkSettings usual) {
  std::vector<WalkSettings> settings;
  for (std::uint32_t seed = first; seed < first + count; ++seed) {
    usual.seed = seed;
    settings.push_back(usual);
  }
  return settings;
}

// Joins after a leave are printed only: the server is in no group then.
void Check(std::vector<WalkResult> results) {
  for (WalkResult& result : results) {
    CAPTURE(fmt::format("{}", fmt::join(result.details, "\n")));
    CHECK(result.faults[JoinFault::kHeadServes] == 0);
    CHECK(result.faults[JoinFault::kHeadServesOther] == 0);
    CHECK(result.opened_incomplete.empty());
    CAPTURE(result.unrecovered);
    CHECK(result.recovered_after.has_value());
  }
}

std::uint32_t NumberFrom(const char* variable, std::uint32_t usual) {
  const char* text = std::getenv(variable);
  return text == nullptr ? usual : static_cast<std::uint32_t>(std::atoi(text));
}

// Guards against servers that join another group while the head of their own
// serves, when two VMs plan them.
TEST_CASE("No server joins another group while its head serves, on a walk") {
  Check(RunWalks(MakeSettings(1, 32, {})));
}

// By hand: KC_WALK_SEED and KC_WALK_SEEDS name the first seed and their number.
TEST_CASE("Long walk of planners", "[.long-walk]") {
  WalkSettings settings;
  settings.planners = NumberFrom("KC_WALK_PLANNERS", 2);
  Check(RunWalks(MakeSettings(NumberFrom("KC_WALK_SEED", 100),
                              NumberFrom("KC_WALK_SEEDS", 8), settings)));
}

TEST_CASE("Walk without disturbances", "[.calm-walk]") {
  WalkSettings settings;
  settings.planners = NumberFrom("KC_WALK_PLANNERS", 1);
  settings.is_disturbed = false;
  Check(RunWalks(MakeSettings(NumberFrom("KC_WALK_SEED", 100),
                              NumberFrom("KC_WALK_SEEDS", 8), settings)));
}

}  // namespace
}  // namespace kumquatcart
