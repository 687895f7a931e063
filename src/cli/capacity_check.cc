#include "cli/capacity_check.h"

#include <map>

#include <fmt/format.h>

namespace kumquatcart {

namespace {

long CountEngines(const VmTable& vms, const FailureDomainId& failure_domain) {
  long count = 0;
  for (const auto& [id, vm] : vms.vms) {
    if (vm.failure_domain == failure_domain && vm.role == VmRole::kEngine &&
        vm.state == VmState::kLive) {
      ++count;
    }
  }
  return count;
}

// VMs asked for in each failure domain. References are checked beforehand.
std::map<FailureDomainId, long> WantedVms(const ConfigView& view) {
  std::map<FailureDomainId, long> wanted;
  for (const auto& [name, intent] : view.placement_intents) {
    const ModelService& service =
        view.model_services.at(intent.body.model_service).body;
    const ReplicaGroupClass& group_class =
        view.replica_group_classes.at(service.replica_group_class).body;
    for (const ReplicaCount& count : intent.body.spread) {
      wanted[count.failure_domain] +=
          static_cast<long>(count.replicas) * group_class.vm_count;
    }
  }
  return wanted;
}

}  // namespace

std::vector<std::string> CheckCapacity(const ConfigView& view,
                                       const VmTable& vms) {
  std::vector<std::string> warnings;
  for (const auto& [failure_domain, wanted] : WantedVms(view)) {
    const long present = CountEngines(vms, failure_domain);
    if (wanted > present) {
      warnings.push_back(fmt::format(
          "failure domain {}: {} VMs are asked for, {} live engines "
          "are listed",
          failure_domain.value, wanted, present));
    }
  }
  return warnings;
}

}  // namespace kumquatcart
