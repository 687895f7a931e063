#include "control/planner_role.h"

namespace kumquatcart {

namespace {

// Time after the start in which announced nodes without a digest count as live.
constexpr Duration kIntroductionTime = std::chrono::seconds(2);

}  // namespace

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
  const MonotonicTime now = this->loop->Now();
  if (now - this->started_at < kIntroductionTime &&
      this->peers->CountPrecedingNodes(now, /*include_silent=*/true) >=
          readers) {
    return false;
  }
  return this->peers->IsStoreReader(readers, now);
}

bool PlannerRole::HasReaderNearby() const {
  const PeerState* planner = this->PeerPlannerOf(this->own_failure_domain);
  return planner != nullptr &&
         planner->failure_domain == this->own_failure_domain;
}

bool PlannerRole::MayPlan() const {
  return this->IsPlannerOf(this->own_failure_domain) ||
         this->peers->PrecedesAll(this->loop->Now());
}

}  // namespace kumquatcart
