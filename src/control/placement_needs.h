// Allocates spare VMs and weight store throughput to groups that lack VMs.
#ifndef CONTROL_PLACEMENT_NEEDS_H_
#define CONTROL_PLACEMENT_NEEDS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "control/placement_draft.h"
#include "control/placement_state.h"

namespace kumquatcart {

constexpr std::size_t kNewGroup = static_cast<std::size_t>(-1);

// VMs that one new or incomplete group lacks.
struct PlacementNeed {
  const PlacementDemand* demand = nullptr;
  std::size_t group = kNewGroup;  // Index of the group to complete.
  int vms = 0;                    // Spares wanted.
  double gain = 0;                // Score decrease per second once it serves.
  // Successor of a group that still serves; may not use the spare reserve.
  bool is_surge = false;

  std::int64_t LoadBytes() const {
    return this->demand->bytes_per_vm * this->vms;
  }
};

// Builds the need of a new group, or of an existing group whose lost and
// leaving members are replaced.
PlacementNeed MakeFormNeed(const PlacementDemand& demand, bool is_surge);
PlacementNeed MakeRepairNeed(const PlacementDemand& demand,
                             const PlacementState& state,
                             std::size_t group);

// Returns the epoch that follows `previous` under `fence`. The upper bits hold
// the fencing number, so that two lease holders never assign the same epoch.
GroupEpoch NextEpoch(GroupEpoch previous, FencingNumber fence);

// Allocates VMs to needs in the order of gain per byte to load: replaces
// members by spares and forms groups. Where a fabric domain has no spares left,
// forms a successor in another one, or breaks up the least valuable incomplete
// group if that lowers the score. Returns the number of surge needs that got no
// VMs.
int AllocateVms(std::vector<PlacementNeed> needs, PlacementDraft* draft);

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_NEEDS_H_
