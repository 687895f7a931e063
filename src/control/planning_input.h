// Builds the input of the group planner for each fabric domain.
#ifndef CONTROL_PLANNING_INPUT_H_
#define CONTROL_PLANNING_INPUT_H_

#include <string>
#include <vector>

#include "control/fleet_view.h"
#include "control/group_planner.h"

namespace kumquatcart {

// A set of servers that can form groups with each other.
struct FabricDomain {
  std::string service;
  std::string name;
  std::string failure_domain;
  const EngineSpec* engine = nullptr;  // Never null.
  std::vector<const BackendServer*> servers;
};

// Lists the fabric domains of services with an engine. The result is valid
// until `view` changes. Precondition: `view` has a configuration. Call only on
// the view's thread.
std::vector<FabricDomain> ListFabricDomains(const FleetView& view);

// `own_failure_domain` is the failure domain of the planning entry VM. Call
// only on the view's thread.
DomainInput MakePlanningInput(const FabricDomain& domain,
                              const FleetView& view,
                              const std::string& own_failure_domain,
                              MonotonicTime now);

}  // namespace kumquatcart

#endif  // CONTROL_PLANNING_INPUT_H_
