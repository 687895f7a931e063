#include "soak/version_history.h"

#include <algorithm>

namespace kumquatcart::soak {

int VersionHistory::NewestHeld(MonotonicTime since, MonotonicTime until) const {
  int newest = 0;
  for (const Change& confirmed : this->confirmations) {
    const bool was_lost = std::any_of(
        this->losses.begin(), this->losses.end(), [&](const Change& loss) {
          return loss.version <= confirmed.version && loss.at >= confirmed.at &&
                 loss.at <= until;
        });
    if (confirmed.at < since && !was_lost) {
      newest = std::max(newest, confirmed.version);
    }
  }
  return newest;
}

}  // namespace kumquatcart::soak
