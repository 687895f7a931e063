// Baseline placement for comparison: releases each incomplete group and forms a
// new one, in the order of the configuration.
#ifndef CONTROL_BASELINE_PLACEMENT_H_
#define CONTROL_BASELINE_PLACEMENT_H_

#include <map>
#include <set>
#include <vector>

#include "control/placement_types.h"
#include "model/replica_group.h"

namespace kumquatcart {

inline PlacementAction MakeBaselineAction(PlacementActionKind kind,
                                          const EngineClaim& claim,
                                          std::vector<VmId> targets) {
  PlacementAction action;
  action.kind = kind;
  action.claim = claim;
  action.targets = std::move(targets);
  return action;
}

// Returns the VMs of `claim` that report its group and are not lost.
inline std::vector<VmId> FindBaselineHolders(const PlacementInput& input,
                                             const EngineClaim& claim) {
  std::vector<VmId> holders;
  for (const VmId& vm : claim.members) {
    const auto engine = input.engines.engines.find(vm);
    const bool observed = engine != input.engines.engines.end() &&
                          input.vms.vms.count(vm) > 0 &&
                          engine->second.observed_at >= input.lost_before;
    if (observed && engine->second.status.claim.group == claim.group) {
      holders.push_back(vm);
    }
  }
  return holders;
}

inline PlacementPlan PlanBaselinePlacement(const PlacementInput& input) {
  PlacementPlan plan;
  std::map<ServiceName, int> groups_of;
  const GroupTable table =
      DeriveGroups(input.vms, input.engines, input.lost_before);
  for (const auto& [id, group] : table.groups) {
    const std::vector<VmId> holders = FindBaselineHolders(input, group.claim);
    bool loaded = holders.size() == group.claim.members.size();
    for (const VmId& vm : holders) {
      loaded =
          loaded && input.engines.engines.at(vm).status.loaded_version ==
                        group.claim.service.value + "/" + group.claim.version;
    }
    const bool broken = group.state == GroupState::kIncomplete ||
                        group.state == GroupState::kDraining ||
                        holders.size() < group.claim.members.size();
    if (broken && !holders.empty()) {
      plan.actions.push_back(MakeBaselineAction(PlacementActionKind::kRelease,
                                                group.claim, holders));
      continue;
    }
    if (!broken) {
      ++groups_of[group.claim.service];
    }
    if (group.state == GroupState::kForming && loaded) {
      plan.actions.push_back(MakeBaselineAction(PlacementActionKind::kServe,
                                                group.claim, holders));
    }
  }
  std::map<FabricDomainId, std::vector<VmId>> free;
  for (const auto& [id, vm] : input.vms.vms) {
    const auto engine = input.engines.engines.find(id);
    const bool usable = vm.failure_domain == input.failure_domain &&
                        vm.state == VmState::kLive &&
                        engine != input.engines.engines.end() &&
                        engine->second.observed_at >= input.lost_before &&
                        engine->second.status.claim.group.IsEmpty();
    if (usable) {
      free[vm.fabric_domain].push_back(id);
    }
  }
  for (const auto& [name, intent] : input.config.placement_intents) {
    const ServiceName service(intent.body.model_service.value);
    const ModelService& model =
        input.config.model_services.at(intent.body.model_service).body;
    const std::size_t size = static_cast<std::size_t>(
        input.config.replica_group_classes.at(model.replica_group_class)
            .body.vm_count);
    int wanted = -groups_of[service];
    for (const ReplicaCount& count : intent.body.spread) {
      wanted +=
          count.failure_domain == input.failure_domain ? count.replicas : 0;
    }
    for (auto& [fabric, vms] : free) {
      while (wanted > 0 && vms.size() >= size) {
        EngineClaim claim;
        claim.epoch = 1;
        claim.service = service;
        claim.version = model.version;
        claim.role = model.role;
        claim.members.assign(vms.end() - size, vms.end());
        vms.resize(vms.size() - size);
        plan.actions.push_back(MakeBaselineAction(PlacementActionKind::kForm,
                                                  claim, claim.members));
        --wanted;
      }
    }
  }
  return plan;
}

}  // namespace kumquatcart

#endif  // CONTROL_BASELINE_PLACEMENT_H_
