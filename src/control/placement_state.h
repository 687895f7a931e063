// The placement decision's own view of one failure domain.
#ifndef CONTROL_PLACEMENT_STATE_H_
#define CONTROL_PLACEMENT_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control/placement_types.h"

namespace kumquatcart {

// One engine VM of the failure domain.
struct PlacementVm {
  VmId id;
  FabricDomainId fabric;
  int accelerators = 0;
  bool lost = false;
  bool leaving = false;
  // May be given orders now.
  bool usable = false;
  // Null when never heard.
  const EngineStatus* status = nullptr;
  MonotonicTime heard_at;

  bool IsHealthy() const { return !this->lost && !this->leaving; }
  bool HoldsNothing() const {
    return this->status != nullptr && this->status->claim.group.IsEmpty();
  }
};

// How one member stands to its group's present claim.
struct PlacementMember {
  // Index into PlacementState::vms, or kNoVm when the VM is not listed.
  std::size_t vm = 0;
  bool lost = false;  // Silent, not listed, or taken by another group.
  bool leaving = false;
  bool agrees = false;  // Reports the same group, epoch and members.
  bool loaded = false;  // Has the claim's weights.
  bool ready = false;
  bool draining = false;
};
constexpr std::size_t kNoVm = static_cast<std::size_t>(-1);

// One replica group, from its newest claim.
struct PlacementGroup {
  EngineClaim claim;
  FabricDomainId fabric;
  std::vector<PlacementMember> members;
  int lost_members = 0;
  int leaving_members = 0;
  bool all_agree = false;
  bool all_loaded = false;
  bool all_ready = false;
  bool draining = false;  // Some member drains.
  bool idle = false;      // Drained, and no stream runs any more.
  int healthy_accelerators = 0;

  // Every member confirms the claim and is ready.
  bool IsWhole() const { return this->all_agree && this->all_ready; }
};

// A model service that is to run in this failure domain.
struct PlacementDemand {
  ServiceName service;
  PartnerId partner;
  std::string version;
  EngineRole role = EngineRole::kMixed;
  int replicas = 0;
  int vm_count = 1;
  int accelerators_per_vm = 1;
  std::int64_t bytes_per_vm = 0;
  double downtime_weight = 1;
  double stranding_weight = 1;
  int spares_per_fabric = 0;
  // Indexes into PlacementState::groups.
  std::vector<std::size_t> groups;

  // Weights that engines load, as they report it.
  std::string LoadedVersion() const;
  // Score per second that a group of this service costs while it is not whole.
  double GroupValue(int idle_accelerators) const;
};

// The state of one failure domain. Refers to the input's tables.
struct PlacementState {
  std::vector<PlacementVm> vms;
  std::vector<PlacementGroup> groups;
  std::vector<PlacementDemand> demands;
  std::map<FabricDomainId, std::vector<std::size_t>> vms_by_fabric;
  std::map<VmId, std::size_t> vm_index;
  // Groups whose service is not wanted here.
  std::vector<std::size_t> unwanted;
};

// Builds the state, as a pure function.
PlacementState BuildPlacementState(const PlacementInput& input);

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_STATE_H_
