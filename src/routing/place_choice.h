// Chooses the group that takes a request.
#ifndef ROUTING_PLACE_CHOICE_H_
#define ROUTING_PLACE_CHOICE_H_

#include <optional>
#include <tuple>
#include <vector>

#include "base/comparable.h"

namespace kumquatcart {

// A group, or a server of a plain service, that could take the request.
struct PlaceCandidate {
  int taken = 0;  // Requests in progress, from all entry VMs.
  int slots = 1;
  bool is_near = true;  // In this entry VM's failure domain.

  auto Tie() const { return std::tie(this->taken, this->slots, this->is_near); }
};

// Returns the index of the candidate with a free slot that is least loaded, or
// none where all are full. Other entry VMs choose at the same time from the
// same counts, which are some hundred milliseconds old: `draws` (one for each
// candidate, 0 up to 1) spread the choice over candidates of about the same
// load. Thread safe.
std::optional<std::size_t> ChoosePlace(
    const std::vector<PlaceCandidate>& candidates,
    const std::vector<double>& draws);

}  // namespace kumquatcart

#endif  // ROUTING_PLACE_CHOICE_H_
