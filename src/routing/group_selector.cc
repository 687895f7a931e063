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

bool CanTake(const GroupCandidate& candidate, const RequestDemand& demand) {
  const double slots =
      candidate.slots * (demand.is_late ? 1 - kReservedSlotFraction : 1.0);
  if (candidate.active_requests + 1 > slots) {
    return false;
  }
  const double budget = demand.prefill_budget.value_or(0) *
                        (demand.is_late ? 1 - kReservedBudgetFraction : 1.0);
  return !demand.prefill_budget || candidate.pending_tokens <= 0 ||
         candidate.pending_tokens + demand.prompt_tokens <= budget;
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

}  // namespace

std::optional<std::size_t> SelectGroup(
    const std::vector<GroupCandidate>& candidates,
    const RequestDemand& demand,
    const std::vector<double>& draws) {
  std::optional<std::size_t> best;
  if (!HasLocalBudget(candidates, demand)) {
    return best;
  }
  double best_score = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!CanTake(candidates[i], demand)) {
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

}  // namespace kumquatcart
