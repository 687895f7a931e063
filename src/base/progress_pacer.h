// Pauses between the rounds of a loop.
#ifndef BASE_PROGRESS_PACER_H_
#define BASE_PROGRESS_PACER_H_

#include <algorithm>

#include "base/clock.h"

namespace kumquatcart {

// Paces a loop by the outcome of its rounds. A round that advances is followed
// by the next one immediately. Rounds without progress are followed by pauses
// that double from the shortest to the longest; an answer without an error that
// brings nothing new counts as such a round. Not thread safe.
class ProgressPacer {
 public:
  // Precondition: 0 < `shortest` <= `longest`.
  ProgressPacer(Duration shortest, Duration longest)
      : shortest(shortest), longest(longest), next(shortest) {}

  // Returns the pause before the next round: zero if the last one `advanced`.
  Duration NextPause(bool advanced) {
    if (advanced) {
      this->next = this->shortest;
      return Duration::zero();
    }
    const Duration pause = this->next;
    const Duration rest = this->longest - pause;
    this->next = pause + std::min(pause, rest);
    return pause;
  }

 private:
  Duration shortest;
  Duration longest;
  Duration next;  // Pause after the next round without progress.
};

}  // namespace kumquatcart

#endif  // BASE_PROGRESS_PACER_H_
