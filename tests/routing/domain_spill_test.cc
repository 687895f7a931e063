// Requests that leave their failure domain though its groups would serve them
// as well, or that wait there beside free slots elsewhere. The model has no
// network: the counts of other domains are old, as between entry VMs.
#include "routing/domain_spill.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "routing/group_selector.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

constexpr SpillTerms kTerms{milliseconds(10), milliseconds(100),
                            milliseconds(2), milliseconds(25)};

DomainOutlook Outlook(std::optional<int> first_event_ms, int free) {
  DomainOutlook outlook;
  if (first_event_ms) {
    outlook.first_event = milliseconds(*first_event_ms);
  }
  outlook.slots = 100;
  outlook.free_slots = free;
  return outlook;
}

TEST_CASE("A request stays where leaving gains nothing that is noticed") {
  CHECK(DecideSpill(Outlook(60, 1), Outlook(40, 90), kTerms) ==
        SpillDecision::kStay);
  CHECK(DecideSpill(Outlook(60, 1), Outlook(30, 90), kTerms) ==
        SpillDecision::kLeave);
  CHECK(DecideSpill(Outlook(60, 1), Outlook(std::nullopt, 0), kTerms) ==
        SpillDecision::kStay);
}

TEST_CASE("A request waits at home as long as it still meets its target") {
  const DomainOutlook full = Outlook(std::nullopt, 0);
  CHECK(DecideSpill(full, Outlook(40, 90), kTerms) == SpillDecision::kWait);
  SpillTerms terms = kTerms;
  terms.home_wait = milliseconds(11);
  CHECK(DecideSpill(full, Outlook(40, 90), terms) == SpillDecision::kLeave);
  CHECK(DecideSpill(full, Outlook(std::nullopt, 0), terms) ==
        SpillDecision::kWait);
}

TEST_CASE("A late request displaces less elsewhere than one on time") {
  const DomainOutlook full = Outlook(std::nullopt, 0);
  SpillTerms urgent = kTerms;
  urgent.home_wait = milliseconds(500);
  SpillTerms late = urgent;
  late.slack = milliseconds(-1);
  CHECK(DecideSpill(full, Outlook(40, 6), urgent) == SpillDecision::kLeave);
  CHECK(DecideSpill(full, Outlook(40, 5), urgent) == SpillDecision::kWait);
  CHECK(DecideSpill(full, Outlook(40, 15), late) == SpillDecision::kWait);
  CHECK(DecideSpill(full, Outlook(40, 16), late) == SpillDecision::kLeave);
}

// Guards against callers of a failure domain whose groups are all lost, or
// ordered out, and who wait for them.
TEST_CASE("A request leaves a failure domain without groups at once") {
  CHECK(DecideSpill(DomainOutlook{}, Outlook(40, 1), kTerms) ==
        SpillDecision::kLeave);
  CHECK(DecideSpill(DomainOutlook{}, Outlook(std::nullopt, 0), kTerms) ==
        SpillDecision::kWait);
}

TEST_CASE("The expected first event follows the prompts and the batch") {
  EngineSpec engine;
  engine.prompt_tokens_per_second = 1000;
  engine.step = milliseconds(10);
  engine.step_per_request = milliseconds(1);
  engine.stride = 5;
  ModelSpec model;
  CHECK(EstimateFirstEvent(engine, model, 100, 50, 4) ==
        milliseconds(150 + 5 * 14));
  model.pace = 2;
  CHECK(EstimateFirstEvent(engine, model, 100, 50, 4) ==
        milliseconds(2 * (150 + 5 * 14)));
  engine.prompt_tokens_per_second = 0;
  CHECK(EstimateFirstEvent(engine, model, 100, 50, 4) == Duration{0});
}

constexpr int kDomains = 3;
constexpr int kGroupsPerDomain = 6;
constexpr int kGroups = kDomains * kGroupsPerDomain;
constexpr int kSlots = 48;
constexpr double kMeanRun = 1.2;  // Seconds that a request holds its slot.
constexpr int kStepMs = 10;
constexpr int kCountsAgeMs = 300;
constexpr int kEndMs = 20'000;
constexpr int kTargetMs = 100;  // Latest start after the arrival.

struct Outcome {
  int requests = 0;
  int left = 0;     // Sent to another failure domain.
  int on_time = 0;  // Started before the latest start.
};

// `demand`: at a time in ms, the part of a domain's slots that its requests
// need.
using Demand = std::function<double(int domain, int now_ms)>;

class SpillModel {
 public:
  SpillModel(Demand demand, bool has_terms)
      : demand(std::move(demand)), has_terms(has_terms) {}

  Outcome Play() {
    for (int now = 0; now < kEndMs; now += kStepMs) {
      this->now = now;
      this->EndRuns();
      this->history.push_back(this->active);
      if (static_cast<int>(this->history.size()) * kStepMs > kCountsAgeMs) {
        this->history.pop_front();
      }
      for (int domain = 0; domain < kDomains; ++domain) {
        this->Arrive(domain);
        this->Assign(domain);
      }
    }
    return this->outcome;
  }

 private:
  void EndRuns() {
    while (!this->ends.empty() && this->ends.top().first <= this->now) {
      const std::size_t group = this->ends.top().second;
      --this->active[group];
      this->ends.pop();
    }
  }

  void Arrive(int domain) {
    const double rate =
        this->demand(domain, this->now) * kGroupsPerDomain * kSlots / kMeanRun;
    std::poisson_distribution<int> arrivals(rate * kStepMs / 1000);
    for (int left = arrivals(this->arrival_random); left > 0; --left) {
      ++this->outcome.requests;
      this->queues[domain].push_back(this->now);
    }
  }

  // On-time requests first, as the queue of an entry VM orders them.
  void Assign(int domain) {
    std::deque<int>& queue = this->queues[domain];
    const auto on_time = std::find_if(
        queue.begin(), queue.end(),
        [this](int arrived) { return this->now <= arrived + kTargetMs; });
    std::rotate(queue.begin(), on_time, queue.end());
    while (!queue.empty()) {
      const int slack_ms = queue.front() + kTargetMs - this->now;
      const std::optional<std::size_t> group = this->Select(domain, slack_ms);
      if (!group) {
        break;
      }
      const bool stays = static_cast<int>(*group) / kGroupsPerDomain == domain;
      this->outcome.left += stays ? 0 : 1;
      queue.pop_front();
      if (this->active[*group] >= kSlots) {  // The old counts were wrong.
        continue;
      }
      this->outcome.on_time += slack_ms >= 0 ? 1 : 0;
      ++this->active[*group];
      std::exponential_distribution<double> run(1 / kMeanRun);
      this->ends.emplace(
          this->now + static_cast<int>(std::ceil(1000 * run(this->random))),
          *group);
    }
    // The callers of those that wait too long are refused.
    queue.erase(std::remove_if(queue.begin(), queue.end(),
                               [this](int arrived) {
                                 return arrived + 2 * kTargetMs < this->now;
                               }),
                queue.end());
    std::sort(queue.begin(), queue.end());
  }

  std::optional<std::size_t> Select(int domain, int slack_ms) {
    std::vector<GroupCandidate> candidates;
    std::vector<double> draws;
    std::uniform_real_distribution<double> uniform(1e-9, 1);
    for (int group = 0; group < kGroups; ++group) {
      const auto index = static_cast<std::size_t>(group);
      const bool is_near = group / kGroupsPerDomain == domain;
      candidates.push_back(
          {is_near ? this->active[index] : this->history.front()[index], kSlots,
           is_near});
      candidates.back().first_event =
          milliseconds(30 + candidates.back().active_requests / 2);
      draws.push_back(uniform(this->random));
    }
    RequestDemand demand;
    demand.is_late = slack_ms < 0;
    if (this->has_terms) {
      demand.spill =
          SpillTerms{milliseconds(static_cast<int>(1000 * kMeanRun) /
                                  (kGroupsPerDomain * kSlots)),
                     milliseconds(slack_ms), milliseconds(2), milliseconds(25)};
    }
    return SelectGroupForDomain(candidates, demand, draws);
  }

  const Demand demand;
  const bool has_terms;
  std::minstd_rand arrival_random{11};
  std::minstd_rand random{12};
  int now = 0;
  Outcome outcome;
  std::vector<int> active = std::vector<int>(kGroups, 0);
  std::deque<std::vector<int>> history;
  std::vector<std::deque<int>> queues = std::vector<std::deque<int>>(kDomains);
  using End = std::pair<int, std::size_t>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
};

// Load: every domain has enough room, used unevenly.
TEST_CASE("Domains with room of their own exchange next to nothing") {
  const Demand uneven = [](int domain, int) { return 0.85 - 0.2 * domain; };
  const Outcome by_slots = SpillModel(uneven, false).Play();
  const Outcome by_terms = SpillModel(uneven, true).Play();
  CHECK(by_terms.left * 10 < by_slots.left);
  CHECK(by_terms.on_time >= by_slots.on_time * 0.99);
}

// Load: the demand of one domain is half as much again as its room, in turn, as
// when callers move.
TEST_CASE("Only what a domain cannot serve in time leaves it") {
  const Demand moving = [](int domain, int now_ms) {
    return now_ms / 4000 % kDomains == domain ? 1.5 : 0.5;
  };
  const Outcome by_slots = SpillModel(moving, false).Play();
  const Outcome by_terms = SpillModel(moving, true).Play();
  CHECK(by_terms.on_time >= by_slots.on_time * 0.99);
  CHECK(by_terms.left < by_slots.left);
  // A third of the requests of the busy domain, which has 1.5 of 2.5 parts.
  CHECK(by_terms.left < by_terms.requests * 0.25);
}

// Load: no domain has room to give away. Requests that leave would displace
// others, which leave in turn.
TEST_CASE("Domains that are all full do not exchange requests") {
  const Demand full = [](int, int) { return 1.3; };
  const Outcome by_slots = SpillModel(full, false).Play();
  const Outcome by_terms = SpillModel(full, true).Play();
  CHECK(by_terms.left * 20 < by_terms.requests);
  CHECK(by_terms.on_time >= by_slots.on_time * 0.99);
}

}  // namespace
}  // namespace kumquatcart
