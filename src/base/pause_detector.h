// Detection of the process's own pauses.
#ifndef BASE_PAUSE_DETECTOR_H_
#define BASE_PAUSE_DETECTOR_H_

#include <deque>

#include "base/clock.h"

namespace kumquatcart {

// Tells a silent peer from an observer that did not listen: silence counts only
// while this process ran. A process that wakes from a pause therefore accuses
// nobody whom it would not have accused before. Not thread safe.
class PauseDetector {
 public:
  // A gap between two readings above `longest_gap` counts as a pause.
  PauseDetector(Duration longest_gap, Duration silence_bound)
      : longest_gap(longest_gap), silence_bound(silence_bound) {}

  // Records a reading. Returns true when the process was paused before it.
  bool Observe(MonotonicTime now) {
    const bool first = this->last == MonotonicTime{};
    const Duration gap = now - this->last;
    const bool paused = !first && gap > this->longest_gap;
    if (paused) {
      this->pauses.push_front({now, gap});
    }
    this->last = now;
    this->Forget(now);
    return paused;
  }

  // Peers last heard before this time were silent for the whole bound.
  // Precondition: `now` was observed.
  MonotonicTime LostBefore(MonotonicTime now) const {
    MonotonicTime bound = now - this->silence_bound;
    for (const Pause& pause : this->pauses) {
      if (pause.ended_at <= bound) {
        break;
      }
      bound -= pause.length;
    }
    return bound;
  }

 private:
  struct Pause {
    MonotonicTime ended_at;
    Duration length{};
  };

  // Drops pauses that lie wholly before the bound.
  void Forget(MonotonicTime now) {
    const MonotonicTime bound = this->LostBefore(now);
    while (!this->pauses.empty() && this->pauses.back().ended_at <= bound) {
      this->pauses.pop_back();
    }
  }

  Duration longest_gap;
  Duration silence_bound;
  MonotonicTime last{};
  std::deque<Pause> pauses;  // Newest first.
};

}  // namespace kumquatcart

#endif  // BASE_PAUSE_DETECTOR_H_
