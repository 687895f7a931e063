// Delays the removal of servers around an outage of the store.
#ifndef CONTROL_STORE_OUTAGE_H_
#define CONTROL_STORE_OUTAGE_H_

#include <algorithm>

#include "base/clock.h"

namespace kumquatcart {

// Entries that expire while the store is down are renewed by running servers
// soon after it recovers. An outage seen by this VM only, because the store
// rejects its calls, causes no delay: the entry of a leaving server may be
// dropped at that time, and the server must stop receiving requests soon. Not
// thread safe.
class StoreOutage {
 public:
  // Updates whether the store is down at `now` according to most entry VMs.
  void SetStoreDown(bool is_down, MonotonicTime now) {
    if (this->is_down && !is_down) {
      this->settled_at = now + kEntryRenewalTime;
    }
    this->is_down = is_down;
  }

  // Returns the time from which an entry dropped at `now` counts as removed.
  MonotonicTime EffectiveRemovalTime(MonotonicTime now) const {
    return this->is_down ? now + kEntryRenewalTime
                         : std::max(now, this->settled_at);
  }

 private:
  // Running servers renew their entries within two seconds.
  static constexpr Duration kEntryRenewalTime = std::chrono::milliseconds(2500);

  bool is_down = false;
  MonotonicTime settled_at;
};

}  // namespace kumquatcart

#endif  // CONTROL_STORE_OUTAGE_H_
