// Recent times from sending a request to the first event of its answer.
#ifndef ROUTING_FIRST_EVENT_TIMES_H_
#define ROUTING_FIRST_EVENT_TIMES_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// Kept by model. Not thread safe.
class FirstEventTimes {
 public:
  void Record(const std::string& model, Duration time);

  // A time that four of five recent requests of the model did not exceed; none
  // while only a few are known.
  std::optional<Duration> Typical(const std::string& model) const;

 private:
  std::map<std::string, std::deque<Duration>> times;
};

// Longest time that a request may be queued and still get its first event
// within `target`. `typical`: time to the first event from sending on. Bounded
// by fractions of the target: after an outage some recent times are far above
// the usual ones. Thread safe.
Duration MaxQueueTime(Duration target, std::optional<Duration> typical);

}  // namespace kumquatcart

#endif  // ROUTING_FIRST_EVENT_TIMES_H_
