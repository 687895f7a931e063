#include "control/planner_role.h"

namespace kumquatcart {

bool PlannerRole::IsMine(const std::string& failure_domain) const {
  return this->peers->Plans(failure_domain, this->store->IsReachable(),
                            this->stopping, this->loop->Now());
}

const PeerState* PlannerRole::Other(const std::string& failure_domain) const {
  return this->IsMine(failure_domain)
             ? nullptr
             : this->peers->Planner(failure_domain, this->loop->Now());
}

bool PlannerRole::ReadsStore(int readers) const {
  return this->Other(this->own_failure_domain) == nullptr ||
         this->peers->NodesBefore(this->loop->Now()) < readers;
}

}  // namespace kumquatcart
