// State of one failure domain as the placement planner uses it.
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
  // May receive orders now.
  bool usable = false;
  // Null when the engine has never reported.
  const EngineStatus* status = nullptr;
  MonotonicTime observed_at;

  bool IsHealthy() const { return !this->lost && !this->leaving; }
  bool ReportsNoClaim() const {
    return this->status != nullptr && this->status->claim.group.IsEmpty();
  }
};

// State of one member relative to the newest claim of its group.
struct PlacementMember {
  // Index into PlacementState::vms, or kNoVm when the VM is not listed.
  std::size_t vm = 0;
  bool lost = false;  // Silent, not listed, or claimed by another group.
  bool leaving = false;
  bool confirms = false;  // Reports the same group, epoch, members and version.
  bool loaded = false;    // Has the claim's weights.
  bool ready = false;
  bool draining = false;
};
constexpr std::size_t kNoVm = static_cast<std::size_t>(-1);

// One replica group, described by its newest claim.
struct PlacementGroup {
  EngineClaim claim;
  FabricDomainId fabric;
  std::vector<PlacementMember> members;
  int lost_members = 0;
  int leaving_members = 0;
  bool all_confirm = false;
  bool all_loaded = false;
  bool all_ready = false;
  bool draining = false;  // At least one member drains.
  bool idle = false;      // Drained, with no stream left.
  int healthy_accelerators = 0;

  // True when every member confirms the claim and is ready.
  bool IsWhole() const { return this->all_confirm && this->all_ready; }
};

// Replicas of a model service wanted in this failure domain.
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

  // Returns the value of `loaded_version` that engines with these weights
  // report.
  std::string LoadedVersion() const;
  // Returns the score per second of one group of this service that does not
  // serve while it holds `idle_accelerators`.
  double GroupValue(int idle_accelerators) const;
};

// State of one failure domain. Refers to the tables of the input.
struct PlacementState {
  std::vector<PlacementVm> vms;
  std::vector<PlacementGroup> groups;
  std::vector<PlacementDemand> demands;
  std::map<FabricDomainId, std::vector<std::size_t>> vms_by_fabric;
  std::map<VmId, std::size_t> vm_index;
  // Indexes of groups whose service is not wanted in this failure domain.
  std::vector<std::size_t> unwanted;
};

// Builds the state as a pure function. Precondition: `input` outlives it.
PlacementState BuildPlacementState(const PlacementInput& input);

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_STATE_H_
