#include "routing/service_capacity.h"

#include "routing/routing_constants.h"

namespace kumquatcart {

namespace {

// Concurrent streams assumed for an engine that reports no capacity.
constexpr int kDefaultEngineCapacity = 8;

}  // namespace

int CapacityOf(const EngineLoad& load) {
  return load.capacity > 0 ? load.capacity : kDefaultEngineCapacity;
}

int ServiceCapacity(const GroupTable& groups,
                    const VmTable& vms,
                    const ServiceName& service) {
  int capacity = 0;
  for (const auto& [id, group] : groups.groups) {
    if (group.claim.service == service && group.state == GroupState::kWhole) {
      capacity += CapacityOf(group.load);
    }
  }
  for (const auto& [id, vm] : vms.vms) {
    if (vm.role == VmRole::kPlainService && vm.service == service &&
        vm.state == VmState::kLive) {
      capacity += kPlainServiceCapacity;
    }
  }
  return capacity;
}

}  // namespace kumquatcart
