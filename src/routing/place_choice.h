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
  double unread = 0;    // Prompt tokens that were sent to it and are not read.
  double own_unread = 0;  // Those of them that this entry VM has sent.

  auto Tie() const {
    return std::tie(this->taken, this->slots, this->is_near, this->unread,
                    this->own_unread);
  }
};

// What the request needs.
struct PlaceDemand {
  double prompt_tokens = 0;
  // Prompt tokens that a candidate may have unread; none where it does not
  // matter.
  std::optional<double> room;
  // What this entry VM's prompts may take of all candidates' room together.
  std::optional<double> own_room;
  bool is_late = false;  // It misses its target in any place.

  auto Tie() const {
    return std::tie(this->prompt_tokens, this->room, this->own_room,
                    this->is_late);
  }
};

// Draws among the candidates that have a free slot and room for the prompt, by
// their free slots, their distance and the prompts that they are reading; none
// where no candidate takes the request. A prompt of any size fits where nothing
// is unread. A late request leaves some slots and room to those that can be on
// time. Other entry VMs choose at the same time from counts that are some
// hundred milliseconds old: if each took the one that looks least loaded, all
// would take the same, most of all a group that has just opened. `draws`: one
// for each candidate, above 0 and up to 1. Thread safe.
std::optional<std::size_t> ChoosePlace(
    const std::vector<PlaceCandidate>& candidates,
    const PlaceDemand& demand,
    const std::vector<double>& draws);

}  // namespace kumquatcart

#endif  // ROUTING_PLACE_CHOICE_H_
