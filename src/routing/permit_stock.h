// Permits of one entry VM for one limited server.
#ifndef ROUTING_PERMIT_STOCK_H_
#define ROUTING_PERMIT_STOCK_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "base/clock.h"
#include "routing/permit_schedule.h"

namespace kumquatcart {

// Permits that have not been used, by the time at which they become usable. A
// permit expires soon afterwards: a request that is sent later would add to
// those of later permits. Not thread safe.
class PermitStock {
 public:
  // Adds permits. All that are held expire `lifetime` after they have become
  // usable.
  void Add(const PermitOffer& offer, Duration lifetime, MonotonicTime now);

  bool HasUsable(MonotonicTime now);
  // Takes a usable permit. False if there is none.
  bool TryTake(MonotonicTime now);

  // Time at which the permit behind `ahead` others is usable; none if there
  // are not as many.
  std::optional<MonotonicTime> UsableAt(std::size_t ahead, MonotonicTime now);

  // Number of permits that are usable now or later.
  int Count(MonotonicTime now);

 private:
  void DropExpired(MonotonicTime now);

  std::deque<MonotonicTime> usable_at;  // Ascending.
  Duration lifetime{0};
};

}  // namespace kumquatcart

#endif  // ROUTING_PERMIT_STOCK_H_
