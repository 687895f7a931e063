#include "control/placement_score.h"

#include <algorithm>

namespace kumquatcart {

namespace {

GroupState StateOf(const PlacementGroup& group) {
  if (group.lost_members > 0) {
    return GroupState::kIncomplete;
  }
  if (!group.IsWhole()) {
    return GroupState::kForming;
  }
  const bool closed = group.draining || group.leaving_members > 0;
  return closed ? GroupState::kDraining : GroupState::kWhole;
}

ServiceScore ScoreDemand(const PlacementState& state,
                         const PlacementDemand& demand) {
  ServiceScore score;
  score.service = demand.service;
  score.partner = demand.partner;
  int serving = 0;
  for (const std::size_t index : demand.groups) {
    const PlacementGroup& group = state.groups[index];
    const GroupState group_state = StateOf(group);
    serving += group_state == GroupState::kWhole ? 1 : 0;
    const bool stranded = group_state == GroupState::kForming ||
                          group_state == GroupState::kIncomplete;
    score.stranded_accelerators += stranded ? group.healthy_accelerators : 0;
  }
  score.missing_replicas = std::max(0, demand.replicas - serving);
  score.weighted = demand.downtime_weight * score.missing_replicas +
                   demand.stranding_weight * score.stranded_accelerators;
  return score;
}

int CountIdle(const PlacementState& state) {
  int idle = 0;
  int listed = 0;
  for (const PlacementVm& vm : state.vms) {
    listed += vm.accelerators;
    idle += vm.IsHealthy() ? vm.accelerators : 0;
  }
  int wanted = 0;
  for (const PlacementDemand& demand : state.demands) {
    wanted += demand.replicas * demand.vm_count * demand.accelerators_per_vm;
  }
  for (const PlacementGroup& group : state.groups) {
    // A draining group is in use until its streams end.
    const bool in_use = group.IsWhole() && !group.idle;
    idle -= in_use ? group.healthy_accelerators : 0;
  }
  const int spares = std::max(0, listed - wanted);
  return std::max(0, idle - spares);
}

}  // namespace

PlacementScore ScorePlacement(const PlacementState& state) {
  PlacementScore score;
  for (const PlacementDemand& demand : state.demands) {
    score.services.push_back(ScoreDemand(state, demand));
  }
  for (const PlacementGroup& group : state.groups) {
    ++score.groups_by_state[StateOf(group)];
  }
  score.idle_accelerators = CountIdle(state);
  return score;
}

}  // namespace kumquatcart
