#include "net/waiter.h"

namespace kumquatcart {

Waiter::Waiter(EventLoop* loop) : timer(loop->Context()) {}

void Waiter::Notify() {
  this->notified = true;
  if (this->waiting) {
    this->timer.cancel();
  }
}

bool Waiter::WaitUntil(MonotonicTime deadline, Coroutine yield) {
  if (!this->notified) {
    this->timer.expires_at(deadline);
    this->waiting = true;
    boost::system::error_code ignored;  // Set if Notify cancelled the timer.
    this->timer.async_wait(yield[ignored]);
    this->waiting = false;
  }
  const bool was_notified = this->notified;
  this->notified = false;
  return was_notified;
}

}  // namespace kumquatcart
