// Serves one caller's connection.
#ifndef ENTRY_CALLER_SESSION_H_
#define ENTRY_CALLER_SESSION_H_

#include "entry/entry_context.h"
#include "net/connection_pool.h"

namespace kumquatcart {

// Serves the requests of `connection` sequentially until it closes. Runs in a
// separate coroutine on the event loop's thread.
void ServeCaller(EntryContext* context,
                 const ConnectionPtr& connection,
                 Waiter* waiter,
                 Coroutine yield);

}  // namespace kumquatcart

#endif  // ENTRY_CALLER_SESSION_H_
