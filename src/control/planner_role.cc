#include "control/planner_role.h"

namespace kumquatcart {

namespace {

// Nodes of a failure domain that follow the store: one may be refused by it, or
// stand still, without the others noticing at once.
constexpr int kReaders = 2;

}  // namespace

bool PlannerRole::IsMine(const std::string& failure_domain) const {
  return this->peers->Plans(failure_domain, this->store->IsReachable(),
                            this->stopping, this->loop->Now());
}

const PeerState* PlannerRole::Other(const std::string& failure_domain) const {
  return this->IsMine(failure_domain)
             ? nullptr
             : this->peers->Planner(failure_domain, this->loop->Now());
}

bool PlannerRole::ReadsStore() const {
  return this->Other(this->own_failure_domain) == nullptr ||
         this->peers->NodesBefore(this->loop->Now()) < kReaders;
}

}  // namespace kumquatcart
