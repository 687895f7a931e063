#include "control/placement_state.h"

#include <algorithm>
#include <utility>

namespace kumquatcart {

namespace {

std::string WeightsName(const ServiceName& service,
                        const std::string& version) {
  return service.value + "/" + version;
}

PlacementVm DescribeVm(const PlacementInput& input, const Vm& listed) {
  PlacementVm vm;
  vm.id = listed.id;
  vm.fabric = listed.fabric_domain;
  vm.accelerators = listed.accelerators;
  vm.leaving = listed.state == VmState::kLeaving;
  const auto observed = input.engines.engines.find(listed.id);
  if (observed == input.engines.engines.end()) {
    vm.lost = true;
    return vm;
  }
  vm.status = &observed->second.status;
  vm.observed_at = observed->second.observed_at;
  vm.lost = vm.observed_at < input.lost_before;
  const bool fenced = vm.status->enforces_fence;
  const bool fence_allows =
      fenced ? vm.status->fence <= input.fence
             : vm.observed_at >= input.unfenced_observed_after &&
                   input.scope == PlacementScope::kEverything;
  const auto unknown = input.outcome_unknown_until.find(listed.id);
  const bool outcome_known = unknown == input.outcome_unknown_until.end() ||
                             vm.observed_at >= unknown->second;
  vm.usable = !vm.lost && fence_allows && outcome_known;
  return vm;
}

void AddVms(const PlacementInput& input, PlacementState* state) {
  for (const auto& [id, listed] : input.vms.vms) {
    if (listed.role != VmRole::kEngine ||
        listed.failure_domain != input.failure_domain) {
      continue;
    }
    const std::size_t index = state->vms.size();
    state->vms.push_back(DescribeVm(input, listed));
    state->vm_index[id] = index;
    state->vms_by_fabric[listed.fabric_domain].push_back(index);
  }
}

// Returns the newest claim of each group among the VMs that are not lost.
std::map<GroupId, const EngineClaim*> FindClaims(const PlacementState& state) {
  std::map<GroupId, const EngineClaim*> claims;
  for (const PlacementVm& vm : state.vms) {
    if (vm.lost || vm.status->claim.group.IsEmpty()) {
      continue;
    }
    const EngineClaim*& newest = claims[vm.status->claim.group];
    if (newest == nullptr || newest->epoch < vm.status->claim.epoch) {
      newest = &vm.status->claim;
    }
  }
  return claims;
}

// Ignores the role, which may differ between members during a role change.
bool SameFormation(const EngineClaim& left, const EngineClaim& right) {
  return left.group == right.group && left.epoch == right.epoch &&
         left.members == right.members && left.version == right.version;
}

PlacementMember DescribeMember(const PlacementState& state,
                               const EngineClaim& claim,
                               const VmId& id) {
  PlacementMember member;
  const auto index = state.vm_index.find(id);
  if (index == state.vm_index.end()) {
    member.vm = kNoVm;
    member.lost = true;
    return member;
  }
  member.vm = index->second;
  const PlacementVm& vm = state.vms[member.vm];
  member.leaving = vm.leaving;
  member.lost = vm.lost ||
                (!vm.ReportsNoClaim() && vm.status->claim.group != claim.group);
  if (member.lost) {
    return member;
  }
  const EngineStatus& status = *vm.status;
  member.confirms = SameFormation(status.claim, claim);
  member.loaded =
      status.loaded_version == WeightsName(claim.service, claim.version);
  member.draining = member.confirms && status.state == EngineState::kDraining;
  member.ready = member.confirms && member.loaded &&
                 (status.state == EngineState::kReady || member.draining);
  return member;
}

// True when the VM reports no streams in a load measured after draining began.
bool IsIdle(const PlacementVm& vm, MonotonicTime draining_since) {
  const EngineLoad& load = vm.status->load;
  const MonotonicTime measured =
      vm.observed_at - std::chrono::milliseconds(load.age_ms);
  return load.running == 0 && load.queued == 0 && measured > draining_since;
}

bool IsGroupIdle(const PlacementInput& input,
                 const PlacementState& state,
                 const PlacementGroup& group) {
  const auto since = input.draining_since.find(group.claim.group);
  if (since == input.draining_since.end()) {
    return false;
  }
  return std::all_of(
      group.members.begin(), group.members.end(),
      [&](const PlacementMember& member) {
        return member.lost ||
               (member.draining && IsIdle(state.vms[member.vm], since->second));
      });
}

PlacementGroup DescribeGroup(const PlacementInput& input,
                             const PlacementState& state,
                             const EngineClaim& claim) {
  PlacementGroup group;
  group.claim = claim;
  group.all_confirm = !claim.members.empty();
  group.all_loaded = group.all_confirm;
  group.all_ready = group.all_confirm;
  for (const VmId& id : claim.members) {
    const PlacementMember member = DescribeMember(state, claim, id);
    group.lost_members += member.lost ? 1 : 0;
    group.leaving_members += member.leaving && !member.lost ? 1 : 0;
    group.all_confirm = group.all_confirm && member.confirms;
    group.all_loaded = group.all_loaded && member.loaded;
    group.all_ready = group.all_ready && member.ready;
    group.draining = group.draining || member.draining;
    if (member.vm != kNoVm) {
      group.fabric = state.vms[member.vm].fabric;
    }
    if (!member.lost) {
      group.healthy_accelerators += state.vms[member.vm].accelerators;
    }
    group.members.push_back(member);
  }
  group.idle = group.draining && IsGroupIdle(input, state, group);
  return group;
}

int ReplicasIn(const PlacementIntent& intent,
               const FailureDomainId& failure_domain) {
  int replicas = 0;
  for (const ReplicaCount& count : intent.spread) {
    if (count.failure_domain == failure_domain) {
      replicas += count.replicas;
    }
  }
  return replicas;
}

// Adds the demand, or merges it into an existing one for the same service.
void MergeDemand(PlacementDemand demand, PlacementState* state) {
  const auto same = std::find_if(state->demands.begin(), state->demands.end(),
                                 [&](const PlacementDemand& known) {
                                   return known.service == demand.service;
                                 });
  if (same == state->demands.end()) {
    state->demands.push_back(std::move(demand));
    return;
  }
  same->replicas += demand.replicas;
  same->downtime_weight =
      std::max(same->downtime_weight, demand.downtime_weight);
  same->stranding_weight =
      std::max(same->stranding_weight, demand.stranding_weight);
  same->spares_per_fabric =
      std::max(same->spares_per_fabric, demand.spares_per_fabric);
}

void AddDemands(const PlacementInput& input, PlacementState* state) {
  for (const auto& [name, intent] : input.config.placement_intents) {
    const auto service =
        input.config.model_services.find(intent.body.model_service);
    if (service == input.config.model_services.end()) {
      continue;
    }
    const auto group_class = input.config.replica_group_classes.find(
        service->second.body.replica_group_class);
    if (group_class == input.config.replica_group_classes.end()) {
      continue;
    }
    PlacementDemand demand;
    demand.service = ServiceName(intent.body.model_service.value);
    demand.partner = intent.meta.owner;
    demand.version = service->second.body.version;
    demand.role = service->second.body.role;
    demand.replicas = ReplicasIn(intent.body, input.failure_domain);
    demand.vm_count = group_class->second.body.vm_count;
    demand.accelerators_per_vm = group_class->second.body.accelerators_per_vm;
    demand.bytes_per_vm = service->second.body.weights_bytes_per_vm;
    demand.downtime_weight = intent.body.downtime_weight;
    demand.stranding_weight = intent.body.stranding_weight;
    demand.spares_per_fabric = intent.body.spare_vms_per_fabric_domain;
    MergeDemand(std::move(demand), state);
  }
}

void AddGroups(const PlacementInput& input, PlacementState* state) {
  std::map<ServiceName, std::size_t> demand_of;
  for (std::size_t i = 0; i < state->demands.size(); ++i) {
    demand_of[state->demands[i].service] = i;
  }
  for (const auto& [id, claim] : FindClaims(*state)) {
    const std::size_t index = state->groups.size();
    state->groups.push_back(DescribeGroup(input, *state, *claim));
    const auto demand = demand_of.find(claim->service);
    if (demand == demand_of.end()) {
      state->unwanted.push_back(index);
    } else {
      state->demands[demand->second].groups.push_back(index);
    }
  }
}

}  // namespace

const char* ToString(PlacementActionKind kind) {
  switch (kind) {
    case PlacementActionKind::kForm:
      return "form";
    case PlacementActionKind::kSwap:
      return "swap";
    case PlacementActionKind::kReclaim:
      return "reclaim";
    case PlacementActionKind::kServe:
      return "serve";
    case PlacementActionKind::kDrain:
      return "drain";
    case PlacementActionKind::kRelease:
      return "release";
    case PlacementActionKind::kSetRole:
      return "set-role";
  }
  return "unknown";
}

std::string PlacementDemand::LoadedVersion() const {
  return WeightsName(this->service, this->version);
}

double PlacementDemand::GroupValue(int idle_accelerators) const {
  return this->downtime_weight + this->stranding_weight * idle_accelerators;
}

PlacementState BuildPlacementState(const PlacementInput& input) {
  PlacementState state;
  AddVms(input, &state);
  AddDemands(input, &state);
  AddGroups(input, &state);
  return state;
}

}  // namespace kumquatcart
