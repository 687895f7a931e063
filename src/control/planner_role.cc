#include "control/planner_role.h"

namespace kumquatcart {

bool PlannerRole::IsPlannerOf(const std::string& failure_domain) const {
  return this->peers->IsPlannerFor(failure_domain, this->store->IsReachable(),
                                   this->stopping, this->loop->Now());
}

const PeerState* PlannerRole::PeerPlannerOf(
    const std::string& failure_domain) const {
  return this->IsPlannerOf(failure_domain)
             ? nullptr
             : this->peers->FindPlanner(failure_domain, this->loop->Now());
}

bool PlannerRole::ReadsStore(int readers) const {
  return this->PeerPlannerOf(this->own_failure_domain) == nullptr ||
         this->peers->CountPrecedingNodes(this->loop->Now()) < readers;
}

}  // namespace kumquatcart
