// Limit for a log line that a loop may repeat.
#ifndef BASE_LOG_LIMITER_H_
#define BASE_LOG_LIMITER_H_

#include <optional>
#include <utility>

#include "base/clock.h"

namespace kumquatcart {

// Admits at most one line per interval and counts the lines in between. Not
// thread safe.
class LogLimiter {
 public:
  // Precondition: `interval` > 0.
  explicit LogLimiter(Duration interval) : interval(interval) {}

  // Returns the number of lines suppressed since the last admitted one if a
  // line may be written at `now`, and std::nullopt otherwise. The first line is
  // admitted. Precondition: `now` does not decrease from call to call.
  std::optional<int> Pass(MonotonicTime now) {
    if (now < this->next_at) {
      ++this->suppressed;
      return std::nullopt;
    }
    this->next_at = now + this->interval;
    return std::exchange(this->suppressed, 0);
  }

 private:
  Duration interval;
  MonotonicTime next_at = MonotonicTime::min();
  int suppressed = 0;
};

}  // namespace kumquatcart

#endif  // BASE_LOG_LIMITER_H_
