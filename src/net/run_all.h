// Runs several coroutines concurrently and waits for all of them.
#ifndef NET_RUN_ALL_H_
#define NET_RUN_ALL_H_

#include <functional>
#include <vector>

#include "net/event_loop.h"

namespace kumquatcart {

// Runs every task in a coroutine of its own and suspends the caller until all
// have returned. There is no overall timeout: each task must limit its own run
// time. Must be called on the event loop's thread.
void RunAll(EventLoop* loop,
            std::vector<std::function<void(Coroutine)>> tasks,
            Coroutine yield);

}  // namespace kumquatcart

#endif  // NET_RUN_ALL_H_
