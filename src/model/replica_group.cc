#include "model/replica_group.h"

namespace kumquatcart {

namespace {

// Returns the observation of a member that is listed and was observed recently,
// or null.
const EngineObservation* FindLive(const VmTable& vms,
                                  const EngineTable& engines,
                                  const VmId& vm,
                                  MonotonicTime lost_before) {
  const auto found = engines.engines.find(vm);
  if (found == engines.engines.end() || vms.vms.count(vm) == 0) {
    return nullptr;
  }
  return found->second.observed_at < lost_before ? nullptr : &found->second;
}

GroupState DeriveState(const VmTable& vms,
                       const EngineTable& engines,
                       const EngineClaim& claim,
                       MonotonicTime lost_before) {
  bool draining = false;
  bool forming = false;
  for (const VmId& member : claim.members) {
    const EngineObservation* observation =
        FindLive(vms, engines, member, lost_before);
    if (observation == nullptr) {
      return GroupState::kIncomplete;
    }
    const EngineStatus& status = observation->status;
    const bool same_claim = status.claim == claim;
    const bool loaded = status.state == EngineState::kReady ||
                        status.state == EngineState::kDraining;
    forming = forming || !same_claim || !loaded;
    draining = draining || status.state == EngineState::kDraining ||
               vms.vms.at(member).state == VmState::kLeaving;
  }
  if (forming || claim.members.empty()) {
    return GroupState::kForming;
  }
  return draining ? GroupState::kDraining : GroupState::kWhole;
}

ReplicaGroup DeriveGroup(const VmTable& vms,
                         const EngineTable& engines,
                         const EngineClaim& claim,
                         MonotonicTime lost_before) {
  ReplicaGroup group;
  group.claim = claim;
  group.state = DeriveState(vms, engines, claim, lost_before);
  for (const VmId& member : claim.members) {
    const auto vm = vms.vms.find(member);
    if (vm == vms.vms.end()) {
      continue;
    }
    group.accelerators += vm->second.accelerators;
    group.failure_domain = vm->second.failure_domain;
    group.fabric_domain = vm->second.fabric_domain;
  }
  if (claim.members.empty()) {
    return group;
  }
  const auto leader = vms.vms.find(claim.members.front());
  if (leader != vms.vms.end()) {
    group.leader = leader->second.endpoint;
  }
  const auto observed = engines.engines.find(claim.members.front());
  if (observed != engines.engines.end()) {
    group.load = observed->second.status.load;
  }
  return group;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, GroupState state) {
  return out << nlohmann::json(state).get<std::string>();
}

GroupTable DeriveGroups(const VmTable& vms,
                        const EngineTable& engines,
                        MonotonicTime lost_before) {
  GroupTable table;
  for (const auto& [vm, observation] : engines.engines) {
    const EngineClaim& claim = observation.status.claim;
    if (claim.group.IsEmpty()) {
      continue;
    }
    const auto known = table.groups.find(claim.group);
    // The highest epoch is the group's present formation.
    if (known != table.groups.end() &&
        known->second.claim.epoch >= claim.epoch) {
      continue;
    }
    table.groups[claim.group] = DeriveGroup(vms, engines, claim, lost_before);
  }
  return table;
}

}  // namespace kumquatcart
