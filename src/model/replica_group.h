// Replica groups as derived from what engines report.
#ifndef MODEL_REPLICA_GROUP_H_
#define MODEL_REPLICA_GROUP_H_

#include <map>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "base/ids.h"
#include "model/engine.h"

namespace kumquatcart {

enum class GroupState {
  kForming,     // Claimed by some members, not yet ready on all.
  kWhole,       // Every member confirms the same group and epoch and is ready.
  kDraining,    // Whole, takes no new streams.
  kIncomplete,  // A member is lost.
};
NLOHMANN_JSON_SERIALIZE_ENUM(GroupState,
                             {{GroupState::kForming, "forming"},
                              {GroupState::kWhole, "whole"},
                              {GroupState::kDraining, "draining"},
                              {GroupState::kIncomplete, "incomplete"}})
std::ostream& operator<<(std::ostream& out, GroupState state);

// One replica group.
struct ReplicaGroup {
  EngineClaim claim;
  GroupState state = GroupState::kForming;
  FailureDomainId failure_domain;
  FabricDomainId fabric_domain;
  Endpoint leader;       // Where requests go: the first member.
  int accelerators = 0;  // Of all its members.
  EngineLoad load;       // As the leader reports it.

  auto Tie() const {
    return std::tie(this->claim, this->state, this->failure_domain,
                    this->fabric_domain, this->leader, this->accelerators,
                    this->load);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReplicaGroup,
                                                claim,
                                                state,
                                                failure_domain,
                                                fabric_domain,
                                                leader,
                                                accelerators,
                                                load)

struct GroupTable {
  std::map<GroupId, ReplicaGroup> groups;

  auto Tie() const { return std::tie(this->groups); }
};

// Derives the groups from observations, as a pure function. A VM counts as lost
// when it is not in `vms`, has no observation, or was last observed before
// `lost_before`. A group is whole only when every member named in the claim
// reports that same claim and is ready.
GroupTable DeriveGroups(const VmTable& vms,
                        const EngineTable& engines,
                        MonotonicTime lost_before);

}  // namespace kumquatcart

#endif  // MODEL_REPLICA_GROUP_H_
