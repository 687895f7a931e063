// Notification that a coroutine can wait for, with a deadline.
#ifndef NET_WAITER_H_
#define NET_WAITER_H_

#include <boost/asio/steady_timer.hpp>

#include "net/event_loop.h"

namespace kumquatcart {

// One coroutine waits; any event source may call Notify. A notification without
// a pending wait is stored and ends the next wait immediately, so that none is
// lost. Must be used on the event loop's thread.
class Waiter {
 public:
  explicit Waiter(EventLoop* loop);

  void Notify();

  // Suspends the calling coroutine until notified or until `deadline`. Returns
  // whether it was notified.
  bool WaitUntil(MonotonicTime deadline, Coroutine yield);

 private:
  boost::asio::steady_timer timer;
  bool notified = false;
  bool waiting = false;
};

}  // namespace kumquatcart

#endif  // NET_WAITER_H_
