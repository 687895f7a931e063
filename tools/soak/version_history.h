// Which versions of the configuration the store held, and when.
#ifndef SOAK_VERSION_HISTORY_H_
#define SOAK_VERSION_HISTORY_H_

#include <vector>

#include "base/clock.h"

namespace kumquatcart::soak {

// The soak's one thread uses it.
class VersionHistory {
 public:
  // The store acknowledged the version, for the first time or again.
  void NoteConfirmed(int version, MonotonicTime at) {
    this->confirmations.push_back({version, at});
  }
  // The store lost that version and all newer ones.
  void NoteLoss(int version, MonotonicTime at) {
    this->losses.push_back({version, at});
  }

  // The newest version that was confirmed before `since` and that the store
  // still held at `until`; 0 if there was none.
  int NewestHeld(MonotonicTime since, MonotonicTime until) const;

 private:
  struct Change {
    int version = 0;
    MonotonicTime at;
  };

  std::vector<Change> confirmations;
  std::vector<Change> losses;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_VERSION_HISTORY_H_
