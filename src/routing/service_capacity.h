// How many requests of a service may run at once, from what the board knows.
#ifndef ROUTING_SERVICE_CAPACITY_H_
#define ROUTING_SERVICE_CAPACITY_H_

#include "base/ids.h"
#include "model/engine.h"
#include "model/replica_group.h"
#include "model/vm.h"

namespace kumquatcart {

// Streams the engine can run at once; a default where it does not say.
int CapacityOf(const EngineLoad& load);

// Requests that all whole groups and live plain service VMs of `service` can
// run at once. Pure.
int ServiceCapacity(const GroupTable& groups,
                    const VmTable& vms,
                    const ServiceName& service);

}  // namespace kumquatcart

#endif  // ROUTING_SERVICE_CAPACITY_H_
