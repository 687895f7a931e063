#include "control/placement_maintenance.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace kumquatcart {

namespace {

using Indexes = std::vector<std::size_t>;

// Returns the VMs of members that are not lost and satisfy `test`.
template <class Test>
Indexes SelectMembers(const PlacementGroup& group, Test test) {
  Indexes selected;
  for (const PlacementMember& member : group.members) {
    if (!member.lost && test(member)) {
      selected.push_back(member.vm);
    }
  }
  return selected;
}

PlacementAction MakeAction(PlacementActionKind kind,
                           const EngineClaim& claim,
                           double gain,
                           std::string reason) {
  PlacementAction action;
  action.kind = kind;
  action.claim = claim;
  action.gain = gain;
  action.reason = std::move(reason);
  return action;
}

double FullGain(const PlacementDemand& demand) {
  return demand.GroupValue(demand.vm_count * demand.accelerators_per_vm);
}

Indexes FindOtherRole(const PlacementDemand& demand,
                      const PlacementGroup& group,
                      const PlacementState& state) {
  return SelectMembers(group, [&](const PlacementMember& member) {
    return state.vms[member.vm].status->claim.role != demand.role;
  });
}

void ChangeRole(const PlacementDemand& demand,
                const PlacementGroup& group,
                const Indexes& members,
                bool may_drain,
                PlacementDraft* draft) {
  if (draft->IsRepairOnly()) {
    return;
  }
  if (group.IsWhole() && !group.idle) {
    if (may_drain || group.draining) {
      DrainGroup(group, "the role changes", draft);
    }
    return;
  }
  EngineClaim claim = group.claim;
  claim.role = demand.role;
  draft->Add(MakeAction(PlacementActionKind::kSetRole, claim, FullGain(demand),
                        "the configuration asks for another role"),
             members);
}

}  // namespace

void MaintainGroup(const PlacementDemand& demand,
                   const PlacementGroup& group,
                   bool may_drain,
                   PlacementDraft* draft) {
  if (group.lost_members > 0) {
    return;
  }
  const Indexes unclaimed = SelectMembers(
      group, [](const PlacementMember& m) { return !m.confirms; });
  if (!unclaimed.empty()) {
    draft->Add(MakeAction(PlacementActionKind::kReclaim, group.claim,
                          FullGain(demand), "members lack the claim"),
               unclaimed);
    return;
  }
  const Indexes other_role = FindOtherRole(demand, group, draft->State());
  if (!other_role.empty()) {
    ChangeRole(demand, group, other_role, may_drain, draft);
    return;
  }
  if (!group.all_loaded) {
    return;
  }
  EngineClaim claim = group.claim;
  claim.role = demand.role;
  const Indexes waiting =
      SelectMembers(group, [](const PlacementMember& member) {
        return !member.ready || member.draining;
      });
  draft->Add(MakeAction(PlacementActionKind::kServe, claim, FullGain(demand),
                        "every member has the weights"),
             waiting);
}

void DrainGroup(const PlacementGroup& group,
                const std::string& reason,
                PlacementDraft* draft) {
  draft->Add(MakeAction(PlacementActionKind::kDrain, group.claim, 0, reason),
             SelectMembers(group, [](const PlacementMember& member) {
               return member.ready && !member.draining;
             }));
}

void RetireGroup(const PlacementGroup& group,
                 const std::string& reason,
                 PlacementDraft* draft) {
  if (group.IsWhole() && !group.idle) {
    DrainGroup(group, reason, draft);
    return;
  }
  ReleaseGroup(group, reason, draft);
}

void ReleaseGroup(const PlacementGroup& group,
                  const std::string& reason,
                  PlacementDraft* draft) {
  draft->Add(MakeAction(PlacementActionKind::kRelease, group.claim, 0, reason),
             SelectMembers(
                 group, [](const PlacementMember& m) { return m.confirms; }));
  const PlacementState& state = draft->State();
  for (const PlacementMember& member : group.members) {
    if (member.lost || member.confirms ||
        state.vms[member.vm].ReportsNoClaim()) {
      continue;
    }
    draft->Add(MakeAction(PlacementActionKind::kRelease,
                          state.vms[member.vm].status->claim, 0, reason),
               {member.vm});
  }
}

void ReleaseStaleClaims(PlacementDraft* draft) {
  const PlacementState& state = draft->State();
  std::map<GroupId, const PlacementGroup*> groups;
  for (const PlacementGroup& group : state.groups) {
    groups[group.claim.group] = &group;
  }
  for (std::size_t i = 0; i < state.vms.size(); ++i) {
    const PlacementVm& vm = state.vms[i];
    if (vm.lost || vm.ReportsNoClaim()) {
      continue;
    }
    const EngineClaim& held = vm.status->claim;
    const std::vector<VmId>& members = groups[held.group]->claim.members;
    if (std::find(members.begin(), members.end(), vm.id) == members.end()) {
      draft->Add(MakeAction(PlacementActionKind::kRelease, held, 0,
                            "the group went on without this VM"),
                 {i});
    }
  }
}

}  // namespace kumquatcart
