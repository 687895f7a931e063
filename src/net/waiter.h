// Wakes a coroutine that waits for any of several things.
#ifndef NET_WAITER_H_
#define NET_WAITER_H_

#include <boost/asio/steady_timer.hpp>

#include "net/event_loop.h"

namespace kumquatcart {

// One coroutine waits; whatever it watches calls Notify. A notification that
// comes while nobody waits ends the next wait at once, so none is missed.
// For the event loop's thread.
class Waiter {
 public:
  explicit Waiter(EventLoop* loop);

  void Notify();

  // Suspends until notified or until `deadline`. False at the deadline.
  bool WaitUntil(MonotonicTime deadline, Coroutine yield);

 private:
  boost::asio::steady_timer timer;
  bool notified = false;
  bool waiting = false;
};

}  // namespace kumquatcart

#endif  // NET_WAITER_H_
