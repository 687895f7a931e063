// Planner for the replica groups of one failure domain.
#ifndef CONTROL_PLACEMENT_PLANNER_H_
#define CONTROL_PLACEMENT_PLANNER_H_

#include "control/placement_types.h"

namespace kumquatcart {

// Computes the next actions as a pure function. Keeps no state between plans:
// the status that engines report shows which actions are in progress. The plan
// is empty when the state requires no action. Thread safe.
//
// The actions minimise a score: the downtime weight for each second and missing
// replica, plus the stranding weight for each second and healthy accelerator
// that is idle because its group is incomplete.
PlacementPlan PlanPlacement(const PlacementInput& input);

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_PLANNER_H_
