#include "control/placement_draft.h"

#include <algorithm>
#include <utility>

namespace kumquatcart {

namespace {

bool HasEnoughAccelerators(const PlacementVm& vm,
                           const PlacementDemand& demand) {
  return vm.accelerators >= demand.accelerators_per_vm;
}

// Marks the VMs that the newest claim of any group lists.
std::vector<bool> FindClaimed(const PlacementState& state) {
  std::vector<bool> claimed(state.vms.size(), false);
  for (const PlacementGroup& group : state.groups) {
    for (const PlacementMember& member : group.members) {
      if (member.vm != kNoVm) {
        claimed[member.vm] = true;
      }
    }
  }
  return claimed;
}

// Returns the bytes that claimed engines have yet to load.
std::int64_t CountOutstanding(const PlacementState& state) {
  std::int64_t bytes = 0;
  for (const PlacementDemand& demand : state.demands) {
    for (const std::size_t index : demand.groups) {
      for (const PlacementMember& member : state.groups[index].members) {
        const bool loading = member.confirms && !member.loaded;
        bytes += loading ? demand.bytes_per_vm : 0;
      }
    }
  }
  return bytes;
}

bool ClaimsVms(PlacementActionKind kind) {
  return kind == PlacementActionKind::kForm ||
         kind == PlacementActionKind::kSwap;
}

}  // namespace

PlacementDraft::PlacementDraft(const PlacementInput& input,
                               const PlacementState& state)
    : input(input),
      state(state),
      bytes_per_second(input.store.bytes_per_second > 0
                           ? input.store.bytes_per_second
                           : input.limits.assumed_bytes_per_second),
      outstanding_bytes(CountOutstanding(state)),
      ordered(state.vms.size(), false) {
  const std::vector<bool> claimed = FindClaimed(state);
  for (const auto& [fabric, indexes] : state.vms_by_fabric) {
    for (const std::size_t index : indexes) {
      const PlacementVm& vm = state.vms[index];
      if (vm.IsHealthy() && vm.usable && vm.ReportsNoClaim() &&
          !claimed[index]) {
        this->free[fabric].push_back(index);
      }
    }
  }
}

int PlacementDraft::CountFree(const FabricDomainId& fabric,
                              const PlacementDemand& demand) const {
  const auto found = this->free.find(fabric);
  if (found == this->free.end()) {
    return 0;
  }
  return static_cast<int>(std::count_if(
      found->second.begin(), found->second.end(), [&](std::size_t index) {
        return HasEnoughAccelerators(this->state.vms[index], demand);
      }));
}

std::optional<std::vector<std::size_t>> PlacementDraft::TakeFree(
    const FabricDomainId& fabric,
    const PlacementDemand& demand,
    int count) {
  if (this->CountFree(fabric, demand) < count) {
    return std::nullopt;
  }
  std::vector<std::size_t>& free_vms = this->free[fabric];
  const std::string weights = demand.LoadedVersion();
  std::stable_partition(free_vms.begin(), free_vms.end(), [&](std::size_t vm) {
    return this->state.vms[vm].status->loaded_version == weights;
  });
  std::vector<std::size_t> taken;
  std::vector<std::size_t> left;
  for (const std::size_t index : free_vms) {
    const bool take = static_cast<int>(taken.size()) < count &&
                      HasEnoughAccelerators(this->state.vms[index], demand);
    (take ? taken : left).push_back(index);
  }
  free_vms = std::move(left);
  return taken;
}

Duration PlacementDraft::LoadTime(std::int64_t bytes) const {
  const double seconds =
      static_cast<double>(bytes) / static_cast<double>(this->bytes_per_second);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

bool PlacementDraft::TakeLoad(std::int64_t bytes) {
  const bool idle = this->outstanding_bytes == 0;
  const Duration queued = this->LoadTime(this->outstanding_bytes + bytes);
  if (!idle && queued > this->input.limits.load_window) {
    return false;
  }
  this->outstanding_bytes += bytes;
  return true;
}

bool PlacementDraft::MayOrder(std::size_t vm) const {
  return vm != kNoVm && this->state.vms[vm].usable && !this->ordered[vm];
}

bool PlacementDraft::Add(PlacementAction action,
                         const std::vector<std::size_t>& targets) {
  std::vector<std::size_t> allowed;
  for (const std::size_t vm : targets) {
    if (this->MayOrder(vm)) {
      allowed.push_back(vm);
    }
  }
  const bool partial = allowed.size() < targets.size();
  if (allowed.empty() || (partial && ClaimsVms(action.kind))) {
    return false;
  }
  for (const std::size_t vm : allowed) {
    this->ordered[vm] = true;
    action.targets.push_back(this->state.vms[vm].id);
  }
  this->plan.actions.push_back(std::move(action));
  return true;
}

PlacementPlan PlacementDraft::Finish() {
  std::stable_sort(
      this->plan.actions.begin(), this->plan.actions.end(),
      [](const PlacementAction& left, const PlacementAction& right) {
        return left.gain > right.gain;
      });
  return std::move(this->plan);
}

}  // namespace kumquatcart
