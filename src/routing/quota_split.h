// Division of a shared limit between entry VMs.
#ifndef ROUTING_QUOTA_SPLIT_H_
#define ROUTING_QUOTA_SPLIT_H_

#include <map>

#include "base/ids.h"

namespace kumquatcart {

// Recent demand of each node for one limit, in the limit's unit.
using DemandByNode = std::map<NodeId, double>;

// Part of `total` that `node` may use. Every node keeps an equal floor of
// `floor_fraction` of the total, so that a burst anywhere can start at once;
// the rest goes to demand above the floor, max-min fair; what no one asks for
// is divided equally. The parts of all nodes add up to `total`, so nodes that
// agree on `demand` never exceed it together. Pure. Precondition: `node` is in
// `demand`.
double SplitQuota(double total,
                  double floor_fraction,
                  const DemandByNode& demand,
                  const NodeId& node);

}  // namespace kumquatcart

#endif  // ROUTING_QUOTA_SPLIT_H_
