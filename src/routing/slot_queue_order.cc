#include "routing/slot_queue_order.h"

namespace kumquatcart {

bool IsLate(const QueuedRequest& request, MonotonicTime now) {
  return now > request.latest_start;
}

bool IsServedBefore(const QueuedRequest& left,
                    const QueuedRequest& right,
                    MonotonicTime now) {
  const bool left_late = IsLate(left, now);
  const bool right_late = IsLate(right, now);
  if (left_late != right_late) {
    return right_late;
  }
  return left_late ? left.queued_at < right.queued_at
                   : std::tie(left.latest_start, left.queued_at) <
                         std::tie(right.latest_start, right.queued_at);
}

}  // namespace kumquatcart
