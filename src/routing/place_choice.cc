#include "routing/place_choice.h"

#include <algorithm>
#include <cmath>

namespace kumquatcart {

namespace {

// Weight of a group in another failure domain, relative to one in the same:
// traffic between failure domains is costly and may be interrupted.
constexpr double kFarWeight = 0.5;
// Pending prompt tokens of this entry VM that halve the weight of a group:
// about one prompt.
constexpr double kOwnPromptTokens = 1500;
// Fractions of the slots and of the prefill budget that late requests leave
// free, for the requests that arrive while a late one runs.
constexpr double kKeptSlots = 0.15;
constexpr double kKeptRoom = 0.5;

bool Takes(const PlaceCandidate& candidate, const PlaceDemand& demand) {
  const double slots =
      candidate.slots * (demand.is_late ? 1 - kKeptSlots : 1.0);
  if (candidate.taken + 1 > slots) {
    return false;
  }
  const double room =
      demand.room.value_or(0) * (demand.is_late ? 1 - kKeptRoom : 1.0);
  return !demand.room || candidate.unread <= 0 ||
         candidate.unread + demand.prompt_tokens <= room;
}

double WeightOf(const PlaceCandidate& candidate, const PlaceDemand& demand) {
  const double free =
      1 - static_cast<double>(candidate.taken) / candidate.slots;
  const double others = candidate.unread - candidate.own_unread;
  const double unread =
      candidate.own_unread / kOwnPromptTokens +
      (demand.room && *demand.room > 0 ? std::max(0.0, others) / *demand.room
                                       : 0);
  return free * (candidate.is_near ? 1 : kFarWeight) / (1 + unread);
}

bool HasOwnRoom(const std::vector<PlaceCandidate>& candidates,
                const PlaceDemand& demand) {
  double own_unread = 0;
  for (const PlaceCandidate& candidate : candidates) {
    own_unread += candidate.own_unread;
  }
  return !demand.own_room || own_unread <= 0 ||
         own_unread + demand.prompt_tokens <= *demand.own_room;
}

}  // namespace

std::optional<std::size_t> ChoosePlace(
    const std::vector<PlaceCandidate>& candidates,
    const PlaceDemand& demand,
    const std::vector<double>& draws) {
  std::optional<std::size_t> best;
  if (!HasOwnRoom(candidates, demand)) {
    return best;
  }
  double best_score = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!Takes(candidates[i], demand)) {
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
