#include "routing/group_selector.h"

#include <algorithm>
#include <cmath>

namespace kumquatcart {

namespace {

// Weight of a group in another failure domain, relative to one in the same:
// traffic between failure domains is costly and may be interrupted.
constexpr double kRemoteDomainWeight = 0.5;
// Pending prompt tokens of this entry VM that halve the weight of a group:
// about one prompt.
constexpr double kHalfWeightPromptTokens = 1500;
// Fractions of the slots and of the prefill budget that late requests leave
// free, for the requests that arrive while a late one runs.
constexpr double kReservedSlotFraction = 0.15;
constexpr double kReservedBudgetFraction = 0.5;

// The same fraction of the slots of all groups of a failure domain, where one
// node selects for the domain: the next slot is free within some milliseconds.
constexpr double kReservedDomainFraction = 0.04;

bool HasPrefillBudget(const GroupCandidate& candidate,
                      const RequestDemand& demand) {
  const double budget = demand.prefill_budget.value_or(0) *
                        (demand.is_late ? 1 - kReservedBudgetFraction : 1.0);
  return !demand.prefill_budget || candidate.pending_tokens <= 0 ||
         candidate.pending_tokens + demand.prompt_tokens <= budget;
}

bool CanTake(const GroupCandidate& candidate, const RequestDemand& demand) {
  const double slots =
      candidate.slots * (demand.is_late ? 1 - kReservedSlotFraction : 1.0);
  return candidate.active_requests + 1 <= slots &&
         HasPrefillBudget(candidate, demand);
}

double WeightOf(const GroupCandidate& candidate, const RequestDemand& demand) {
  const double free =
      1 - static_cast<double>(candidate.active_requests) / candidate.slots;
  const double others =
      candidate.pending_tokens - candidate.local_pending_tokens;
  const double pending_tokens =
      candidate.local_pending_tokens / kHalfWeightPromptTokens +
      (demand.prefill_budget && *demand.prefill_budget > 0
           ? std::max(0.0, others) / *demand.prefill_budget
           : 0);
  return free * (candidate.same_failure_domain ? 1 : kRemoteDomainWeight) /
         (1 + pending_tokens);
}

bool HasLocalBudget(const std::vector<GroupCandidate>& candidates,
                    const RequestDemand& demand) {
  double local_pending_tokens = 0;
  for (const GroupCandidate& candidate : candidates) {
    local_pending_tokens += candidate.local_pending_tokens;
  }
  return !demand.local_prefill_budget || local_pending_tokens <= 0 ||
         local_pending_tokens + demand.prompt_tokens <=
             *demand.local_prefill_budget;
}

// Selects among all candidates, or among those of other failure domains only.
std::optional<std::size_t> SelectAtRandom(
    const std::vector<GroupCandidate>& candidates,
    const RequestDemand& demand,
    const std::vector<double>& draws,
    bool only_other_domains) {
  std::optional<std::size_t> best;
  double best_score = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if ((only_other_domains && candidates[i].same_failure_domain) ||
        !CanTake(candidates[i], demand)) {
      continue;
    }
    // Exponential variates with the weights as rates: each candidate has the
    // smallest one with a probability proportional to its weight.
    const double score = -std::log(draws[i]) / WeightOf(candidates[i], demand);
    if (!best || score < best_score) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

// Slots of the candidates inside or outside the own failure domain.
struct SlotTotals {
  int all = 0;
  int free = 0;

  double FreeFraction() const {
    return this->all == 0 ? 0 : static_cast<double>(this->free) / this->all;
  }
};

SlotTotals SumSlots(const std::vector<GroupCandidate>& candidates,
                    bool same_failure_domain) {
  SlotTotals totals;
  for (const GroupCandidate& candidate : candidates) {
    if (candidate.same_failure_domain == same_failure_domain) {
      totals.all += candidate.slots;
      totals.free += std::max(0, candidate.slots - candidate.active_requests);
    }
  }
  return totals;
}

std::optional<std::size_t> SelectNear(
    const std::vector<GroupCandidate>& candidates,
    const RequestDemand& demand,
    const SlotTotals& totals) {
  std::optional<std::size_t> best;
  if (demand.is_late &&
      totals.free - 1 < totals.all * kReservedDomainFraction) {
    return best;
  }
  double best_weight = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    GroupCandidate candidate = candidates[i];
    if (!candidate.same_failure_domain ||
        candidate.active_requests >= candidate.slots ||
        !HasPrefillBudget(candidate, demand)) {
      continue;
    }
    // The prompts of the whole domain are this node's.
    candidate.local_pending_tokens = candidate.pending_tokens;
    const double weight = WeightOf(candidate, demand);
    if (!best || weight > best_weight) {
      best = i;
      best_weight = weight;
    }
  }
  return best;
}

// `chosen`: the candidate that would take the request.
DomainOutlook OutlookOf(const std::vector<GroupCandidate>& candidates,
                        const std::optional<std::size_t>& chosen,
                        const SlotTotals& totals) {
  DomainOutlook outlook;
  if (chosen) {
    outlook.first_event = candidates[*chosen].first_event;
  }
  outlook.slots = totals.all;
  outlook.free_slots = totals.free;
  return outlook;
}

}  // namespace

std::optional<std::size_t> SelectGroup(
    const std::vector<GroupCandidate>& candidates,
    const RequestDemand& demand,
    const std::vector<double>& draws) {
  return HasLocalBudget(candidates, demand)
             ? SelectAtRandom(candidates, demand, draws,
                              /*only_other_domains=*/false)
             : std::nullopt;
}

std::optional<std::size_t> SelectGroupForDomain(
    const std::vector<GroupCandidate>& candidates,
    const RequestDemand& demand,
    const std::vector<double>& draws) {
  const SlotTotals near_slots = SumSlots(candidates, true);
  const std::optional<std::size_t> near =
      SelectNear(candidates, demand, near_slots);
  const SlotTotals far_slots = SumSlots(candidates, false);
  if (!demand.spill) {
    if (near && near_slots.FreeFraction() >=
                    kRemoteDomainWeight * far_slots.FreeFraction()) {
      return near;
    }
    const std::optional<std::size_t> far =
        SelectAtRandom(candidates, demand, draws, /*only_other_domains=*/true);
    return far ? far : near;
  }
  const std::optional<std::size_t> far =
      SelectAtRandom(candidates, demand, draws, /*only_other_domains=*/true);
  switch (DecideSpill(OutlookOf(candidates, near, near_slots),
                      OutlookOf(candidates, far, far_slots), *demand.spill)) {
    case SpillDecision::kLeave:
      return far;
    case SpillDecision::kStay:
      return near;
    default:
      return std::nullopt;
  }
}

}  // namespace kumquatcart
