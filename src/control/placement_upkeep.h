// Rules that move one existing group along.
#ifndef CONTROL_PLACEMENT_UPKEEP_H_
#define CONTROL_PLACEMENT_UPKEEP_H_

#include <string>

#include "control/placement_draft.h"
#include "control/placement_state.h"

namespace kumquatcart {

// Brings a group with no lost member to ready: repeats claims that members
// lack, changes the role when it differs (only with `may_drain` from a whole
// group), and lets it serve when every member has the weights.
void KeepGroup(const PlacementDemand& demand,
               const PlacementGroup& group,
               bool may_drain,
               PlacementDraft* draft);

// Stops new streams on every member that takes them.
void DrainGroup(const PlacementGroup& group,
                const std::string& reason,
                PlacementDraft* draft);

// Ends a group without interrupting a stream: drains it, waits until it is
// idle, then releases its members. A group that can run no stream is released
// at once.
void RetireGroup(const PlacementGroup& group,
                 const std::string& reason,
                 PlacementDraft* draft);

// Releases the members of a group that runs no stream.
void ReleaseGroup(const PlacementGroup& group,
                  const std::string& reason,
                  PlacementDraft* draft);

// Releases VMs that hold an older claim of a group which has gone on without
// them.
void ReleaseStrays(PlacementDraft* draft);

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_UPKEEP_H_
