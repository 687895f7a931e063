// Groups that servers report, but whose records the store has lost.
#ifndef CONTROL_LOST_GROUPS_H_
#define CONTROL_LOST_GROUPS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/fleet_view.h"
#include "control/planning_input.h"

namespace kumquatcart {

// Name and epoch of a group.
using GroupFormation = std::pair<std::string, std::int64_t>;

// The groups of one fabric domain that its servers report under a later epoch
// than any known record of the group has.
struct LostGroups {
  // Records of the groups of which every member reports its part.
  std::vector<GroupRecord> whole;
  // The others: entries of members may be missing too.
  std::set<GroupFormation> partial;

  auto Tie() const { return std::tie(this->whole, this->partial); }
};

// Standby groups have no records and are left out. Call only on the view's
// thread.
LostGroups FindLostGroups(const FabricDomain& domain, const FleetView& view);

// The epochs of the recorded groups of one fabric domain, dissolved ones too,
// by group. Call only on the view's thread.
std::map<std::string, std::int64_t> RecordedEpochs(
    const std::string& fabric_domain,
    const FleetView& view);

// Whether a member of `record` is in another group's record of a later epoch.
// Call only on the view's thread.
bool HasLaterGroup(const GroupRecord& record, const FleetView& view);

// Returns the highest epoch of all records and of all groups that servers
// report; 0 if there are none. Call only on the view's thread.
std::int64_t HighestKnownEpoch(const FleetView& view);

}  // namespace kumquatcart

#endif  // CONTROL_LOST_GROUPS_H_
