// Many entry VMs select among groups of which most slots are in use. Counts of
// other VMs are older than the time between two requests, so that VMs that
// select by themselves overfill some groups while others have room. A model
// without a network.
#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "routing/group_selector.h"

namespace kumquatcart {
namespace {

constexpr int kDomains = 5;
constexpr int kGroupsPerDomain = 20;
constexpr int kGroups = kDomains * kGroupsPerDomain;
constexpr int kSlots = 13;
constexpr double kMeanDuration = 1.2;  // Seconds that a request holds its slot.
constexpr double kCountsAge = 0.3;
constexpr double kStep = 0.01;
constexpr double kEnd = 12;

// Counts of 10 ms steps; the oldest is `kCountsAge` old.
using History = std::deque<std::vector<int>>;

struct Load {
  std::vector<int> active = std::vector<int>(kGroups, 0);
  History history;
};

using Select =
    std::function<std::optional<std::size_t>(const Load& load,
                                             int domain,
                                             const std::vector<double>& draws)>;

std::optional<std::size_t> SelectByOldCounts(const Load& load,
                                             int domain,
                                             const std::vector<double>& draws) {
  std::vector<GroupCandidate> candidates;
  for (int group = 0; group < kGroups; ++group) {
    candidates.push_back({load.history.front()[static_cast<std::size_t>(group)],
                          kSlots, group / kGroupsPerDomain == domain});
  }
  return SelectGroup(candidates, {}, draws);
}

// Exact counts of the groups of the own domain, old ones of the others.
std::optional<std::size_t> SelectByCoordinator(
    const Load& load,
    int domain,
    const std::vector<double>& draws) {
  std::vector<GroupCandidate> candidates;
  for (int group = 0; group < kGroups; ++group) {
    const auto index = static_cast<std::size_t>(group);
    const bool is_near = group / kGroupsPerDomain == domain;
    candidates.push_back(
        {is_near ? load.active[index] : load.history.front()[index], kSlots,
         is_near});
  }
  return SelectGroupForDomain(candidates, {}, draws);
}

struct Outcome {
  int sent = 0;
  int sent_to_full = 0;         // The group had no free slot in fact.
  int refused_beside_free = 0;  // Some group had one.
};

// `use`: fraction of all slots that the requests need. `skew`: fraction of the
// requests of domain 0 that arrive in domain 1 instead.
Outcome Play(const Select& select, double use, double skew) {
  std::minstd_rand random(17);
  std::uniform_real_distribution<double> uniform(1e-9, 1);
  std::exponential_distribution<double> duration(1 / kMeanDuration);
  Load load;
  using End = std::pair<double, std::size_t>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  Outcome outcome;
  const double rate = use * kGroupsPerDomain * kSlots / kMeanDuration;
  for (double now = 0; now < kEnd; now += kStep) {
    while (!ends.empty() && ends.top().first <= now) {
      --load.active[ends.top().second];
      ends.pop();
    }
    load.history.push_back(load.active);
    if (static_cast<double>(load.history.size()) * kStep > kCountsAge) {
      load.history.pop_front();
    }
    for (int domain = 0; domain < kDomains; ++domain) {
      const double share =
          domain == 0 ? 1 - skew : (domain == 1 ? 1 + skew : 1);
      std::poisson_distribution<int> arrivals(rate * share * kStep);
      for (int left = arrivals(random); left > 0; --left) {
        std::vector<double> draws;
        for (int group = 0; group < kGroups; ++group) {
          draws.push_back(uniform(random));
        }
        const std::optional<std::size_t> chosen = select(load, domain, draws);
        ++outcome.sent;
        if (!chosen) {
          const bool has_free =
              std::any_of(load.active.begin(), load.active.end(),
                          [](int active) { return active < kSlots; });
          outcome.refused_beside_free += has_free ? 1 : 0;
          continue;
        }
        outcome.sent_to_full += load.active[*chosen] >= kSlots ? 1 : 0;
        ++load.active[*chosen];
        ends.emplace(now + duration(random), *chosen);
      }
    }
  }
  return outcome;
}

TEST_CASE("Nearly full groups are not overfilled by one view of their domain") {
  for (const double use : {0.7, 0.8, 0.9}) {
    CAPTURE(use);
    const Outcome blind = Play(SelectByOldCounts, use, 0);
    const Outcome exact = Play(SelectByCoordinator, use, 0);
    CHECK(exact.sent_to_full * 4 < blind.sent_to_full);
    CHECK(exact.refused_beside_free <= blind.refused_beside_free);
  }
}

// Half of a domain's callers move to another one, whose groups cannot hold all.
TEST_CASE("Callers that move find the room that they left") {
  const Outcome blind = Play(SelectByOldCounts, 0.75, 0.48);
  const Outcome exact = Play(SelectByCoordinator, 0.75, 0.48);
  CHECK(exact.sent_to_full * 2 < blind.sent_to_full);
  CHECK(exact.refused_beside_free == 0);
}

TEST_CASE("A late request leaves the last slots of a domain to others") {
  std::vector<GroupCandidate> candidates(4, GroupCandidate{25, 26, true});
  const std::vector<double> draws(4, 0.5);
  RequestDemand demand;
  CHECK(SelectGroupForDomain(candidates, demand, draws));
  demand.is_late = true;
  // Of 104 slots, four are free.
  CHECK_FALSE(SelectGroupForDomain(candidates, demand, draws));
  candidates[2].active_requests = 20;
  CHECK(SelectGroupForDomain(candidates, demand, draws) == std::size_t{2});
}

// Guards against a group that has just opened, or lost some requests at once,
// to which all prompts go until it is as full as the others: they are read one
// after the other, and its streams pause meanwhile.
TEST_CASE("Prompts that arrive together go to different groups") {
  constexpr double kPrompt = 1500;
  std::vector<GroupCandidate> candidates(4, GroupCandidate{9, 13, true});
  candidates[0].active_requests = 6;
  RequestDemand demand;
  demand.prompt_tokens = kPrompt;
  demand.prefill_budget = 12'000;
  const std::vector<double> draws(4, 0.5);
  std::vector<int> chosen(4, 0);
  for (int i = 0; i < 4; ++i) {
    const std::optional<std::size_t> choice =
        SelectGroupForDomain(candidates, demand, draws);
    REQUIRE(choice);
    ++chosen[*choice];
    ++candidates[*choice].active_requests;
    candidates[*choice].pending_tokens += kPrompt;
  }
  CHECK(chosen == std::vector<int>{1, 1, 1, 1});
}

TEST_CASE("A group of another domain is used where the own ones are full") {
  const std::vector<double> draws(2, 0.5);
  const auto select = [&draws](int near, int far) {
    return SelectGroupForDomain({{near, 26, true}, {far, 26, false}}, {},
                                draws);
  };
  CHECK(select(26, 25) == std::size_t{1});
  CHECK(select(20, 18) == std::size_t{0});
  // Much less room than elsewhere.
  CHECK(select(25, 10) == std::size_t{1});
  CHECK_FALSE(select(26, 26));
}

}  // namespace
}  // namespace kumquatcart
