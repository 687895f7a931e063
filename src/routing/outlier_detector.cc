#include "routing/outlier_detector.h"

#include <algorithm>
#include <cstddef>

namespace kumquatcart {

namespace {

double Median(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// Medians that each backend server of the pool is compared with.
struct PoolMedians {
  double failure_rate = 0;
  double latency_seconds = 0;
};

PoolMedians ComputeMedians(const std::vector<BackendStats>& pool) {
  std::vector<double> failure_rates;
  std::vector<double> latencies;
  for (const BackendStats& stats : pool) {
    failure_rates.push_back(stats.failure_rate);
    if (stats.latency_seconds > 0) {
      latencies.push_back(stats.latency_seconds);
    }
  }
  return {Median(std::move(failure_rates)), Median(std::move(latencies))};
}

bool FailsMore(const BackendStats& stats,
               const PoolMedians& medians,
               const OutlierPolicy& policy) {
  return stats.failure_rate >= policy.min_failure_rate &&
         stats.failure_rate > policy.failure_rate_ratio * medians.failure_rate;
}

bool IsSlower(const BackendStats& stats,
              const PoolMedians& medians,
              const OutlierPolicy& policy) {
  return medians.latency_seconds > 0 &&
         stats.latency_seconds > policy.latency_ratio * medians.latency_seconds;
}

}  // namespace

std::set<BackendId> FindOutliers(const std::vector<BackendStats>& pool,
                                 const OutlierPolicy& policy) {
  const PoolMedians medians = ComputeMedians(pool);
  std::vector<BackendStats> outliers;
  for (const BackendStats& stats : pool) {
    const bool has_enough_attempts = stats.attempts >= policy.min_attempts;
    if (has_enough_attempts && (FailsMore(stats, medians, policy) ||
                                IsSlower(stats, medians, policy))) {
      outliers.push_back(stats);
    }
  }
  std::sort(
      outliers.begin(), outliers.end(),
      [](const BackendStats& left, const BackendStats& right) {
        return std::tie(right.failure_rate, right.latency_seconds, left.id) <
               std::tie(left.failure_rate, left.latency_seconds, right.id);
      });
  const auto max_ejected = static_cast<std::size_t>(
      policy.max_ejected_fraction * static_cast<double>(pool.size()));
  std::set<BackendId> ejected;
  for (const BackendStats& stats : outliers) {
    if (ejected.size() == max_ejected) {
      break;
    }
    ejected.insert(stats.id);
  }
  return ejected;
}

}  // namespace kumquatcart
