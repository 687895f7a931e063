// Foretells when lost VMs come back.
#ifndef CONTROL_RETURN_ESTIMATOR_H_
#define CONTROL_RETURN_ESTIMATOR_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>

#include "base/clock.h"
#include "control/placement_types.h"

namespace kumquatcart {

// Learns from the absences seen by this node. Not thread safe.
class ReturnEstimator {
 public:
  // Takes in the VMs lost at `now`, and those of the heard ones that hold a
  // claim.
  void Observe(const std::set<VmId>& lost,
               const std::set<VmId>& claimed,
               MonotonicTime now);

  // The expected return of each VM now lost: the median of past absences longer
  // than the present one. VMs without enough such absences are left out.
  std::map<VmId, ExpectedReturn> Expect(MonotonicTime now) const;

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
