// Order in which queued requests are assigned to slots that become free.
#ifndef ROUTING_SLOT_QUEUE_ORDER_H_
#define ROUTING_SLOT_QUEUE_ORDER_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"

namespace kumquatcart {

// A request that is queued for a slot of a replica group.
struct QueuedRequest {
  std::string model;
  // Latest time of starting at which it still meets its latency target.
  MonotonicTime latest_start;
  MonotonicTime queued_at;  // When it was queued.

  auto Tie() const {
    return std::tie(this->model, this->latest_start, this->queued_at);
  }
};

// Whether `request` misses its latency target if it starts at `now`. Thread
// safe.
bool IsLate(const QueuedRequest& request, MonotonicTime now);

// Strict weak ordering of the queue at `now`: requests that can still meet
// their target come first, by earliest latest start; late ones follow in order
// of arrival. After an outage, requests that waited through it compete with new
// ones. Delaying a request that is late already costs little, while a new
// request in the same slot can still be on time. Thread safe.
bool IsServedBefore(const QueuedRequest& left,
                    const QueuedRequest& right,
                    MonotonicTime now);

}  // namespace kumquatcart

#endif  // ROUTING_SLOT_QUEUE_ORDER_H_
