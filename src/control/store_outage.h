// When dropped entries of servers count after the store was down.
#ifndef CONTROL_STORE_OUTAGE_H_
#define CONTROL_STORE_OUTAGE_H_

#include <algorithm>

#include "base/clock.h"

namespace kumquatcart {

// Entries that lapsed while the store was down come back soon after its return,
// if their servers live. An outage that only this VM sees, since the store
// refuses it, postpones nothing: the entry of a server that leaves may be
// dropped at that time, and it must get no request for long after. Not thread
// safe.
class StoreOutage {
 public:
  // Whether the store is down at `now`, as most entry VMs see it.
  void Note(bool is_down, MonotonicTime now) {
    if (this->is_down && !is_down) {
      this->settles = now + kEntriesReturn;
    }
    this->is_down = is_down;
  }

  // When an entry that is dropped at `now` counts as gone.
  MonotonicTime Settled(MonotonicTime now) const {
    return this->is_down ? now + kEntriesReturn : std::max(now, this->settles);
  }

 private:
  // Entries of servers that live are back within two seconds.
  static constexpr Duration kEntriesReturn = std::chrono::milliseconds(2500);

  bool is_down = false;
  MonotonicTime settles;
};

}  // namespace kumquatcart

#endif  // CONTROL_STORE_OUTAGE_H_
