// Actions that maintain, drain and release existing groups.
#ifndef CONTROL_PLACEMENT_MAINTENANCE_H_
#define CONTROL_PLACEMENT_MAINTENANCE_H_

#include <string>

#include "control/placement_draft.h"
#include "control/placement_state.h"

namespace kumquatcart {

// Brings a group without lost members to the ready state: resends the claim to
// members that lack it, changes the role if it differs (a group that serves is
// drained for it only if `may_drain`), and orders it to serve when every member
// has loaded the weights.
void MaintainGroup(const PlacementDemand& demand,
                   const PlacementGroup& group,
                   bool may_drain,
                   PlacementDraft* draft);

// Orders every member that accepts new streams to drain.
void DrainGroup(const PlacementGroup& group,
                const std::string& reason,
                PlacementDraft* draft);

// Dissolves a group without interrupting a stream: drains it, waits until it is
// idle, then releases its members. A group that cannot run streams is released
// immediately.
void RetireGroup(const PlacementGroup& group,
                 const std::string& reason,
                 PlacementDraft* draft);

// Releases the members of a group that runs no stream.
void ReleaseGroup(const PlacementGroup& group,
                  const std::string& reason,
                  PlacementDraft* draft);

// Releases VMs that still hold an older claim of a group whose newest claim
// does not list them.
void ReleaseStaleClaims(PlacementDraft* draft);

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_MAINTENANCE_H_
