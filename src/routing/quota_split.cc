#include "routing/quota_split.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace kumquatcart {

namespace {

// Water-filling level: the cap on each demand at which their sum is `total`, or
// the largest demand if all of them fit.
double FindWaterLevel(std::vector<double> demands, double total) {
  std::sort(demands.begin(), demands.end());
  double left = total;
  std::size_t unserved = demands.size();
  for (const double demand : demands) {
    const double equal_share = left / static_cast<double>(unserved);
    if (demand >= equal_share) {
      return equal_share;
    }
    left -= demand;
    --unserved;
  }
  return demands.empty() ? 0 : demands.back();
}

}  // namespace

double SplitQuota(double total,
                  double floor_fraction,
                  const DemandByNode& demand,
                  const NodeId& node) {
  const auto nodes = static_cast<double>(demand.size());
  const double floor = total * floor_fraction / nodes;
  const double shared = total - floor * nodes;
  std::vector<double> excess;
  for (const auto& [id, wanted] : demand) {
    excess.push_back(std::max(0.0, wanted - floor));
  }
  const double level = FindWaterLevel(excess, shared);
  double served = 0;
  for (const double wanted : excess) {
    served += std::min(wanted, level);
  }
  const double own_excess = std::max(0.0, demand.at(node) - floor);
  const double leftover = std::max(0.0, shared - served) / nodes;
  return floor + std::min(own_excess, level) + leftover;
}

}  // namespace kumquatcart
