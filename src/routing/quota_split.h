// Division of a shared limit among entry VMs.
#ifndef ROUTING_QUOTA_SPLIT_H_
#define ROUTING_QUOTA_SPLIT_H_

#include <map>

#include "base/ids.h"

namespace kumquatcart {

// Recent demand of each node for one limit, in the unit of the limit.
using DemandByNode = std::map<NodeId, double>;

// Share of `total` that `node` may use. `floor_fraction` of the total is
// divided equally, so that any node can serve a burst without delay. The rest
// is allocated max-min fairly to the demand above that floor, and what is not
// demanded is divided equally. The shares of all nodes add up to `total`, so
// nodes with the same `demand` never exceed it together. Pure. Precondition:
// `node` is in `demand`.
double SplitQuota(double total,
                  double floor_fraction,
                  const DemandByNode& demand,
                  const NodeId& node);

}  // namespace kumquatcart

#endif  // ROUTING_QUOTA_SPLIT_H_
