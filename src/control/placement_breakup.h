// Breaks up incomplete groups to complete more valuable ones.
#ifndef CONTROL_PLACEMENT_BREAKUP_H_
#define CONTROL_PLACEMENT_BREAKUP_H_

#include <vector>

#include "control/placement_draft.h"
#include "control/placement_needs.h"

namespace kumquatcart {

// Returns the time at which all lost and leaving members of the group are
// expected back with their weights loaded.
MonotonicTime ExpectedCompletion(const PlacementNeed& need,
                                 const PlacementDraft& draft);

// Breaks up groups to supply VMs where there are no spares, both to
// `incomplete` groups and to `missing` ones, which are not formed yet. Releases
// the least valuable incomplete groups if their VMs complete or form another
// group and that saves more than loading the released groups again costs.
void BreakUpGroups(const std::vector<PlacementNeed>& incomplete,
                   const std::vector<PlacementNeed>& missing,
                   PlacementDraft* draft);

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_BREAKUP_H_
