#include "routing/place_choice.h"

namespace kumquatcart {

namespace {

// Load, as a part of a group's slots, for which a group in another failure
// domain is given up: traffic between failure domains costs and may be cut.
constexpr double kDistanceLoad = 0.15;
// Difference of load within which candidates count as alike: what other entry
// VMs may have added since they last told.
constexpr double kSpreadLoad = 0.12;

}  // namespace

std::optional<std::size_t> ChoosePlace(
    const std::vector<PlaceCandidate>& candidates,
    const std::vector<double>& draws) {
  std::optional<std::size_t> best;
  double best_score = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const PlaceCandidate& candidate = candidates[i];
    if (candidate.taken >= candidate.slots) {
      continue;
    }
    const double score =
        static_cast<double>(candidate.taken) / candidate.slots +
        (candidate.is_near ? 0 : kDistanceLoad) + kSpreadLoad * draws[i];
    if (!best || score < best_score) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

}  // namespace kumquatcart
