// Shares spare VMs and the weight store out among groups that lack VMs.
#ifndef CONTROL_PLACEMENT_NEEDS_H_
#define CONTROL_PLACEMENT_NEEDS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "control/placement_draft.h"
#include "control/placement_state.h"

namespace kumquatcart {

constexpr std::size_t kNewGroup = static_cast<std::size_t>(-1);

// VMs that one group lacks.
struct PlacementNeed {
  const PlacementDemand* demand = nullptr;
  std::size_t group = kNewGroup;  // Index of the group to complete.
  int vms = 0;                    // Spares wanted.
  double gain = 0;                // Score per second once it serves.
  // Successor of a group that still serves: leaves the spare reserve alone.
  bool is_surge = false;

  std::int64_t LoadBytes() const {
    return this->demand->bytes_per_vm * this->vms;
  }
};

// Builds the need of a new group, or of an existing one that replaces its lost
// and leaving members.
PlacementNeed MakeFormNeed(const PlacementDemand& demand, bool is_surge);
PlacementNeed MakeRepairNeed(const PlacementDemand& demand,
                             const PlacementState& state,
                             std::size_t group);

// Number of the epoch that follows `previous` under `fence`. The fence stands
// in the upper bits, so that two holders never give out the same epoch.
GroupEpoch NextEpoch(GroupEpoch previous, FencingNumber fence);

// Meets needs by order of gain for each byte to load: swaps spares in, forms
// groups, and where a fabric domain has no spares left forms a successor
// elsewhere or breaks up the least valuable incomplete group, if that pays.
// Returns how many surge needs found no VMs.
int MeetNeeds(std::vector<PlacementNeed> needs, PlacementDraft* draft);

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_NEEDS_H_
