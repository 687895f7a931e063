// Collects what the planner has to know of each fabric domain.
#ifndef CONTROL_PLANNING_INPUT_H_
#define CONTROL_PLANNING_INPUT_H_

#include <string>
#include <vector>

#include "control/fleet_view.h"
#include "control/group_planner.h"

namespace kumquatcart {

// The servers that can form groups with each other.
struct FabricDomain {
  std::string service;
  std::string name;
  std::string failure_domain;
  const EngineSpec* engine = nullptr;  // Never null.
  std::vector<const BackendServer*> servers;
};

// Valid until `view` changes. Precondition: `view` has a configuration. For the
// view's thread.
std::vector<FabricDomain> ListFabricDomains(const FleetView& view);

// `own_failure_domain`: that of the entry VM that plans. For the view's thread.
DomainInput MakePlanningInput(const FabricDomain& domain,
                              const FleetView& view,
                              const std::string& own_failure_domain,
                              MonotonicTime now);

}  // namespace kumquatcart

#endif  // CONTROL_PLANNING_INPUT_H_
