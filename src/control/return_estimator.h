// Estimates when lost VMs return.
#ifndef CONTROL_RETURN_ESTIMATOR_H_
#define CONTROL_RETURN_ESTIMATOR_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>

#include "base/clock.h"
#include "control/placement_types.h"

namespace kumquatcart {

// Bases its estimates on past absences observed by this node. Not thread safe.
class ReturnEstimator {
 public:
  // Records the VMs that are lost at `now`, and those of the responding VMs
  // that hold a claim.
  void Observe(const std::set<VmId>& lost,
               const std::set<VmId>& claimed,
               MonotonicTime now);

  // Returns the expected return of each lost VM, from the median of the past
  // absences that are longer than the current one. Omits VMs with too few such
  // absences.
  std::map<VmId, ExpectedReturn> EstimateReturns(MonotonicTime now) const;

 private:
  struct Absence {
    Duration length;
    bool kept_weights = false;
  };

  std::map<VmId, MonotonicTime> lost_since;
  std::deque<Absence> absences;  // Oldest first, bounded.
};

}  // namespace kumquatcart

#endif  // CONTROL_RETURN_ESTIMATOR_H_
