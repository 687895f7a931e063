// Times of events within a sliding window.
#ifndef ROUTING_EXPIRING_TIMES_H_
#define ROUTING_EXPIRING_TIMES_H_

#include <deque>

#include "base/clock.h"

namespace kumquatcart {

// Removes the times before `oldest` from `times`. Precondition: `times` is in
// ascending order. Not thread safe.
inline void DropBefore(std::deque<MonotonicTime>* times, MonotonicTime oldest) {
  while (!times->empty() && times->front() < oldest) {
    times->pop_front();
  }
}

}  // namespace kumquatcart

#endif  // ROUTING_EXPIRING_TIMES_H_
