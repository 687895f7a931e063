// Calculates the number of spare VMs.
#ifndef CONTROL_SPARE_RESERVE_H_
#define CONTROL_SPARE_RESERVE_H_

#include "control/placement_types.h"

namespace kumquatcart {

// Returns the smallest number of spare VMs so that the probability of more VMs
// being unavailable at the same time, out of `vm_count`, is at most
// limits.spare_shortage_probability. Assumes independent failures, each of
// which makes a VM unavailable for limits.repair_time.
int SpareReserve(int vm_count, const PlacementLimits& limits);

}  // namespace kumquatcart

#endif  // CONTROL_SPARE_RESERVE_H_
