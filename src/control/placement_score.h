// Cost of the present state of a failure domain.
#ifndef CONTROL_PLACEMENT_SCORE_H_
#define CONTROL_PLACEMENT_SCORE_H_

#include <map>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "base/ids.h"
#include "control/placement_state.h"
#include "model/replica_group.h"

namespace kumquatcart {

// Cost of one model service at one moment.
struct ServiceScore {
  ServiceName service;
  PartnerId partner;
  int missing_replicas = 0;
  // Healthy accelerators held by groups that do not serve.
  int stranded_accelerators = 0;
  double weighted = 0;  // Weighted sum of both, per second.

  auto Tie() const {
    return std::tie(this->service, this->partner, this->missing_replicas,
                    this->stranded_accelerators, this->weighted);
  }
};

// Cost of a failure domain at one moment.
struct PlacementScore {
  std::vector<ServiceScore> services;
  std::map<GroupState, int> groups_by_state;
  // Healthy accelerators outside serving groups, in excess of those that the
  // configuration does not need.
  int idle_accelerators = 0;

  auto Tie() const {
    return std::tie(this->services, this->groups_by_state,
                    this->idle_accelerators);
  }
};

// Computes the score as a pure function.
PlacementScore ScorePlacement(const PlacementState& state);

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_SCORE_H_
