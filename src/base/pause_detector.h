// Detection of pauses of this process.
#ifndef BASE_PAUSE_DETECTOR_H_
#define BASE_PAUSE_DETECTOR_H_

#include <deque>

#include "base/clock.h"

namespace kumquatcart {

// Excludes pauses of this process from failure detection: the time since the
// last message of a peer counts only while this process was running. A process
// that resumes from a pause therefore does not suspect a peer that it would not
// have suspected before the pause. Not thread safe.
class PauseDetector {
 public:
  // A gap of more than `longest_gap` between two readings counts as a pause.
  // Peers are lost after `silence_bound` of running time without a message.
  PauseDetector(Duration longest_gap, Duration silence_bound)
      : longest_gap(longest_gap), silence_bound(silence_bound) {}

  // Records a clock reading. Returns true if the process was paused between the
  // previous reading and this one.
  bool Observe(MonotonicTime now) {
    const bool first = this->last == MonotonicTime{};
    const Duration gap = now - this->last;
    const bool paused = !first && gap > this->longest_gap;
    if (paused) {
      this->pauses.push_front({now, gap});
    }
    this->last = now;
    this->DiscardOldPauses(now);
    return paused;
  }

  // Returns the time before which the last message of a lost peer arrived: such
  // a peer has been silent for at least `silence_bound`, not counting pauses.
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

  // Discards pauses that ended at or before the cutoff of LostBefore.
  void DiscardOldPauses(MonotonicTime now) {
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
