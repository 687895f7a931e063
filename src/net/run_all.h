// Runs several coroutines at once and waits for all of them.
#ifndef NET_RUN_ALL_H_
#define NET_RUN_ALL_H_

#include <functional>
#include <vector>

#include "net/event_loop.h"

namespace kumquatcart {

// Starts every task and returns when the last one has ended. Each task bounds
// its own time. For the event loop's thread.
void RunAll(EventLoop* loop,
            std::vector<std::function<void(Coroutine)>> tasks,
            Coroutine yield);

}  // namespace kumquatcart

#endif  // NET_RUN_ALL_H_
