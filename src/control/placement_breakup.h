// Breaks up incomplete groups to complete more valuable ones.
#ifndef CONTROL_PLACEMENT_BREAKUP_H_
#define CONTROL_PLACEMENT_BREAKUP_H_

#include <vector>

#include "control/placement_draft.h"
#include "control/placement_needs.h"

namespace kumquatcart {

// When the group's lost VMs should all be back and loaded.
MonotonicTime ExpectedCompletion(const PlacementNeed& need,
                                 const PlacementDraft& draft);

// Decides for groups that lack VMs where there are no spares: `incomplete` ones
// and `missing` ones, which are yet to be formed. The least valuable incomplete
// group is released when its VMs complete or form another and that saves more
// than the released one loses by loading everything again.
void BreakUpGroups(const std::vector<PlacementNeed>& incomplete,
                   const std::vector<PlacementNeed>& missing,
                   PlacementDraft* draft);

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_BREAKUP_H_
