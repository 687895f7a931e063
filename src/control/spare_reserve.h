// Size of the spare reserve.
#ifndef CONTROL_SPARE_RESERVE_H_
#define CONTROL_SPARE_RESERVE_H_

#include "control/placement_types.h"

namespace kumquatcart {

// Returns the smallest number of spare VMs such that more VMs than that are
// lost at once, among `vm_count` of them, with at most
// limits.spare_shortage_probability. Losses are independent and each keeps its
// VM away for limits.repair_time.
int SpareReserve(int vm_count, const PlacementLimits& limits);

}  // namespace kumquatcart

#endif  // CONTROL_SPARE_RESERVE_H_
