// Count of the requests in progress.
#ifndef GATEWAY_ACTIVE_REQUESTS_H_
#define GATEWAY_ACTIVE_REQUESTS_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>

#include "base/clock.h"

namespace kumquatcart {

// Lets a drain or a stop wait for the last request. Thread safe.
class ActiveRequests {
 public:
  // One request in progress, for as long as it lives.
  class Slot {
   public:
    explicit Slot(ActiveRequests* owner) : owner(owner) { owner->Add(1); }
    ~Slot() { this->owner->Add(-1); }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

   private:
    ActiveRequests* owner;
  };

  std::int64_t Count() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->count;
  }

  // Blocks until no request is in progress.
  void WaitUntilNone() {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, [this] { return this->count == 0; });
  }

  // As above, but returns false once `timeout` of `clock` has passed with
  // requests in progress.
  bool WaitUntilNone(Clock* clock, Duration timeout) {
    bool timed_out = false;
    const TimerId timer = clock->CallAfter(timeout, [&] {
      const std::lock_guard<std::mutex> lock(this->mutex);
      timed_out = true;
      this->changed.notify_all();
    });
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, [&] { return this->count == 0 || timed_out; });
    const bool none = this->count == 0;
    lock.unlock();
    if (!clock->Cancel(timer)) {
      // The callback has started and refers to this call's variables.
      lock.lock();
      this->changed.wait(lock, [&] { return timed_out; });
    }
    return none;
  }

 private:
  void Add(std::int64_t change) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->count += change;
    if (this->count == 0) {
      // Under the lock: a waiter may destroy this object as soon as it wakes.
      this->changed.notify_all();
    }
  }

  mutable std::mutex mutex;
  std::condition_variable changed;
  std::int64_t count = 0;
};

}  // namespace kumquatcart

#endif  // GATEWAY_ACTIVE_REQUESTS_H_
