// Times of events within a sliding window.
#ifndef BASE_EXPIRING_TIMES_H_
#define BASE_EXPIRING_TIMES_H_

#include <deque>

#include "base/clock.h"

namespace kumquatcart {

// Drops the times before `oldest` from `times`, which are in ascending order.
// For one thread.
inline void DropBefore(std::deque<MonotonicTime>* times, MonotonicTime oldest) {
  while (!times->empty() && times->front() < oldest) {
    times->pop_front();
  }
}

}  // namespace kumquatcart

#endif  // BASE_EXPIRING_TIMES_H_
