// Guards against prompts that stall the running streams of all groups. After a
// restart of all entry VMs, many prompts reach few groups before the entry VMs
// have received each other's counts.
#include "routing/prefill_budget.h"

#include <algorithm>
#include <numeric>
#include <random>

#include <catch2/catch.hpp>

#include "routing/group_selector.h"

namespace kumquatcart {
namespace {

constexpr Duration kGapTarget = std::chrono::milliseconds(250);
constexpr int kGroups = 5;
constexpr int kNodes = 8;

EngineSpec Engine() {
  EngineSpec engine;
  engine.slots = 26;
  engine.step = std::chrono::microseconds(6450);
  engine.step_per_request = std::chrono::microseconds(97);
  engine.prompt_tokens_per_second = 56100;
  engine.stride = 6;
  return engine;
}

ModelSpec Model(double pace) {
  ModelSpec model;
  model.name = "m";
  model.group_size = 6;
  model.pace = pace;
  return model;
}

// Duration of one pass of a full group that processes `unread` prompt tokens.
double PassMs(double unread, double pace) {
  const EngineSpec engine = Engine();
  return pace * (engine.stride * (6.45 + engine.slots * 0.0967) +
                 unread / engine.prompt_tokens_per_second * 1000);
}

TEST_CASE("A full prefill budget keeps stream pauses within the target") {
  for (const double pace : {0.6, 1.0, 1.5}) {
    const std::optional<double> budget =
        PrefillBudget(Engine(), Model(pace), kGapTarget);
    REQUIRE(budget);
    CHECK(PassMs(*budget, pace) < 251);
    // The budget holds more than two prompts of average length.
    CHECK(*budget > 2 * 1500);
  }
}

TEST_CASE("There is no prefill budget without a target or a rate") {
  CHECK(!PrefillBudget(Engine(), Model(1), Duration{0}));
  EngineSpec unknown = Engine();
  unknown.prompt_tokens_per_second = 0;
  CHECK(!PrefillBudget(unknown, Model(1), kGapTarget));
}

TEST_CASE(
    "The share of an entry VM in the prefill budget follows their number") {
  CHECK(LocalPrefillBudget(5000, kGroups, 1) >= 5000 * kGroups);
  CHECK(LocalPrefillBudget(5000, kGroups, 1000) == 5000);
}

TEST_CASE("The prefill wait grows with the number of entry VMs") {
  const Duration alone =
      EstimatePrefillWait(Engine(), Model(1), 10000, kGroups, 1);
  const Duration shared =
      EstimatePrefillWait(Engine(), Model(1), 10000, kGroups, kNodes);
  CHECK(ToMillis(shared) == ToMillis(kNodes * alone));
  CHECK(EstimatePrefillWait(Engine(), Model(1), 10000, 0, kNodes) ==
        Duration{0});
}

// Simulates entry VMs that each assign `prompts_per_node` prompts at the same
// time, without the counts of the others. Returns the pass duration of each
// group.
std::vector<double> PassesMs(int prompts_per_node, bool bounded) {
  std::minstd_rand generator(11);
  std::uniform_real_distribution<double> uniform(1e-9, 1);
  std::exponential_distribution<double> length(1.0 / 1500);
  const std::optional<double> budget =
      PrefillBudget(Engine(), Model(1), kGapTarget);
  std::vector<double> unread(kGroups, 0);
  for (int node = 0; node < kNodes; ++node) {
    std::vector<double> own(kGroups, 0);
    std::vector<int> taken(kGroups, 4);
    for (int request = 0; request < prompts_per_node; ++request) {
      RequestDemand demand;
      demand.prompt_tokens = std::min(4000.0, 200 + length(generator));
      if (bounded) {
        demand.prefill_budget = budget;
        demand.local_prefill_budget =
            LocalPrefillBudget(*budget, kGroups, kNodes);
      }
      std::vector<GroupCandidate> candidates;
      std::vector<double> draws;
      for (int group = 0; group < kGroups; ++group) {
        candidates.push_back({taken[group], 26, true, own[group], own[group]});
        draws.push_back(uniform(generator));
      }
      const std::optional<std::size_t> chosen =
          SelectGroup(candidates, demand, draws);
      if (chosen) {
        ++taken[*chosen];
        own[*chosen] += demand.prompt_tokens;
        unread[*chosen] += demand.prompt_tokens;
      }
    }
  }
  std::vector<double> passes;
  for (const double tokens : unread) {
    passes.push_back(PassMs(tokens, 1));
  }
  return passes;
}

TEST_CASE("A burst of prompts after an outage does not stall all streams") {
  // With 12 prompts per entry VM and no bound, every stream stalls for most of
  // a second.
  const std::vector<double> unbounded = PassesMs(12, false);
  const std::vector<double> bounded = PassesMs(12, true);
  // Twice the budget, since each entry VM may use twice its even share.
  const double most =
      PassMs(2 * *PrefillBudget(Engine(), Model(1), kGapTarget), 1);
  const auto mean = [](const std::vector<double>& passes) {
    return std::accumulate(passes.begin(), passes.end(), 0.0) / kGroups;
  };
  CHECK(mean(bounded) <= most);
  CHECK(mean(unbounded) > most);
}

}  // namespace
}  // namespace kumquatcart
