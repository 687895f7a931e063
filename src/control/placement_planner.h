// The placement decision of one failure domain.
#ifndef CONTROL_PLACEMENT_PLANNER_H_
#define CONTROL_PLACEMENT_PLANNER_H_

#include "control/placement_types.h"

namespace kumquatcart {

// Plans the next steps, as a pure function. Needs no memory of earlier plans:
// what is under way shows in what the engines report. A plan for an unchanged
// state that needs nothing is empty. Thread safe.
//
// Score that steps lower: downtime weight for each second and missing replica,
// plus stranding weight for each second and healthy accelerator that is idle
// because its group is incomplete.
PlacementPlan PlanPlacement(const PlacementInput& input);

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_PLANNER_H_
