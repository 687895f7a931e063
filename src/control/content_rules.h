// Order by content of the records of the store's topics.
#ifndef CONTROL_CONTENT_RULES_H_
#define CONTROL_CONTENT_RULES_H_

#include <functional>
#include <string>

#include "control/fleet_view.h"
#include "control/topic_replica.h"
#include "net/event_loop.h"
#include "platform/store_client.h"

namespace kumquatcart {

// The rules are used on the event loop's thread. Precondition of all: the
// pointers outlive the rules.

// By version. `load` takes the text of a configuration that a peer has
// retained.
ContentRules ConfigContentRules(
    const StoreClient* store,
    const FleetView* view,
    std::function<void(const std::string& text)> load);

// By start, accepted orders and leaving, for some time after the start of this
// process and after the store's era has changed. `apply` takes an entry that a
// peer has retained. Servers whose entries the store has lost are removed
// unless these are written again soon.
ContentRules ServerContentRules(
    EventLoop* loop,
    const StoreClient* store,
    FleetView* view,
    std::function<void(const TopicRecord& record)> apply);

// By epoch.
ContentRules GroupContentRules(FleetView* view);

}  // namespace kumquatcart

#endif  // CONTROL_CONTENT_RULES_H_
