// One caller's connection.
#ifndef ENTRY_CALLER_SESSION_H_
#define ENTRY_CALLER_SESSION_H_

#include "entry/entry_context.h"
#include "net/connection_pool.h"

namespace kumquatcart {

// Serves the requests of `connection` one after the other until it ends. Runs
// in a coroutine of its own, on the event loop's thread.
void ServeCaller(EntryContext* context,
                 const ConnectionPtr& connection,
                 Waiter* waiter,
                 Coroutine yield);

}  // namespace kumquatcart

#endif  // ENTRY_CALLER_SESSION_H_
