// Concurrent request capacity of engines and services.
#ifndef ROUTING_SERVICE_CAPACITY_H_
#define ROUTING_SERVICE_CAPACITY_H_

#include "base/ids.h"
#include "model/engine.h"
#include "model/replica_group.h"
#include "model/vm.h"

namespace kumquatcart {

// Streams the engine can run concurrently; a default if it reports none.
int CapacityOf(const EngineLoad& load);

// Requests that the whole groups and live plain service VMs of `service` can
// run concurrently. Pure.
int ServiceCapacity(const GroupTable& groups,
                    const VmTable& vms,
                    const ServiceName& service);

}  // namespace kumquatcart

#endif  // ROUTING_SERVICE_CAPACITY_H_
