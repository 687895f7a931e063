#include "routing/backend_selector.h"

#include <algorithm>

#include <xxhash.h>

#include "routing/routing_constants.h"

namespace kumquatcart {

namespace {

using Indexes = std::vector<std::size_t>;

std::uint64_t RendezvousScore(const BackendId& backend, std::uint64_t key) {
  return XXH64(backend.value.data(), backend.value.size(), key);
}

// Indexes of the candidates that are not suspected; of all candidates if too
// many are.
Indexes FindEligible(const std::vector<Candidate>& candidates,
                     const SelectionPolicy& policy) {
  Indexes eligible;
  Indexes all;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    all.push_back(index);
    if (!candidates[index].suspected) {
      eligible.push_back(index);
    }
  }
  const double suspected = static_cast<double>(all.size() - eligible.size());
  const double allowed =
      policy.max_suspected_fraction * static_cast<double>(all.size());
  return eligible.empty() || suspected > allowed ? all : eligible;
}

double MeanUtilisation(const std::vector<Candidate>& candidates,
                       const Indexes& indexes) {
  double sum = 0;
  for (const std::size_t index : indexes) {
    sum += Utilisation(candidates[index]);
  }
  return sum / static_cast<double>(indexes.size());
}

// The nearest tier below the spill utilisation; all of `eligible` if there is
// none.
Indexes FindNearestUnsaturated(const std::vector<Candidate>& candidates,
                               const Indexes& eligible,
                               const SelectionPolicy& policy) {
  for (const Distance distance :
       {Distance::kSameFailureDomain, Distance::kSameRegion,
        Distance::kOtherRegion}) {
    Indexes tier;
    for (const std::size_t index : eligible) {
      if (candidates[index].distance == distance) {
        tier.push_back(index);
      }
    }
    if (!tier.empty() &&
        MeanUtilisation(candidates, tier) < policy.spill_utilisation) {
      return tier;
    }
  }
  return eligible;
}

std::size_t SelectAffine(const std::vector<Candidate>& candidates,
                         const Indexes& tier,
                         std::uint64_t affinity_key,
                         const SelectionPolicy& policy) {
  // At least one candidate is at or below the mean, so with a bound of 1 or
  // more one is always within it.
  const double bound =
      policy.affinity_load_bound * MeanUtilisation(candidates, tier);
  std::size_t best = tier.front();
  std::uint64_t best_score = 0;
  bool found = false;
  for (const std::size_t index : tier) {
    if (Utilisation(candidates[index]) > bound) {
      continue;
    }
    const std::uint64_t score =
        RendezvousScore(candidates[index].id, affinity_key);
    if (!found || score > best_score) {
      best = index;
      best_score = score;
      found = true;
    }
  }
  return best;
}

std::size_t SelectByTwoChoices(const std::vector<Candidate>& candidates,
                               const Indexes& tier,
                               std::uint64_t random) {
  const std::size_t size = tier.size();
  const std::size_t first = random % size;
  if (size == 1) {
    return tier[first];
  }
  const std::size_t step = 1 + (random / size) % (size - 1);
  const std::size_t second = (first + step) % size;
  const bool first_wins = Utilisation(candidates[tier[first]]) <=
                          Utilisation(candidates[tier[second]]);
  return first_wins ? tier[first] : tier[second];
}

}  // namespace

std::uint64_t AffinityKey(const std::string& prompt) {
  if (prompt.empty()) {
    return 0;
  }
  const std::size_t length = std::min(prompt.size(), kAffinityPrefixBytes);
  return std::max<std::uint64_t>(1, XXH64(prompt.data(), length, 0));
}

double Utilisation(const Candidate& candidate) {
  return (candidate.load + 1) / (candidate.capacity * candidate.weight);
}

std::optional<std::size_t> SelectBackend(
    const std::vector<Candidate>& candidates,
    std::uint64_t affinity_key,
    const SelectionPolicy& policy,
    std::uint64_t random) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const Indexes eligible = FindEligible(candidates, policy);
  const Indexes tier = FindNearestUnsaturated(candidates, eligible, policy);
  if (affinity_key != 0) {
    return SelectAffine(candidates, tier, affinity_key, policy);
  }
  return SelectByTwoChoices(candidates, tier, random);
}

}  // namespace kumquatcart
