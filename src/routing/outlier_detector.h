// Detection of backend servers that perform much worse than their pool.
#ifndef ROUTING_OUTLIER_DETECTOR_H_
#define ROUTING_OUTLIER_DETECTOR_H_

#include <set>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "routing/backend_id.h"

namespace kumquatcart {

// Recent results of one backend server.
struct BackendStats {
  BackendId id;
  double attempts = 0;      // Decayed count.
  double failure_rate = 0;  // 0 to 1.
  // Decayed mean of answered attempts; 0 if there are none.
  double latency_seconds = 0;

  auto Tie() const {
    return std::tie(this->id, this->attempts, this->failure_rate,
                    this->latency_seconds);
  }
};

struct OutlierPolicy {
  double min_attempts = 5;            // Fewer are not significant.
  double min_failure_rate = 0.3;      // Lower rates make no outlier.
  double failure_rate_ratio = 3.0;    // Relative to the pool's median.
  double latency_ratio = 4.0;         // Relative to the pool's median.
  double max_ejected_fraction = 0.3;  // Of the pool.
};

// Returns the outliers with the highest failure rates, and among equal rates
// those with the highest latencies. At most `max_ejected_fraction` of the pool,
// rounded down, so that a pool never becomes empty. Pure.
std::set<BackendId> FindOutliers(const std::vector<BackendStats>& pool,
                                 const OutlierPolicy& policy);

}  // namespace kumquatcart

#endif  // ROUTING_OUTLIER_DETECTOR_H_
