// Foretells how long a request will wait for a place.
#ifndef ROUTING_WAIT_FORECAST_H_
#define ROUTING_WAIT_FORECAST_H_

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// Takes the rate at which places of a model became free lately for the rate to
// come. Not thread safe.
class WaitForecast {
 public:
  // A place of `model` became free.
  void NoteRelease(const std::string& model, MonotonicTime now);

  // Time until a request finds a place that has `ahead` others before it. The
  // whole span of the count where nothing became free within it.
  Duration Expect(const std::string& model, int ahead, MonotonicTime now);

 private:
  std::map<std::string, std::deque<MonotonicTime>> releases;
};

// Retry-After for one of many who are refused together: about `expected`, later
// ones by as much again, so that they do not all come back at one moment.
// `draw`: 0 up to 1. Thread safe.
Duration SpreadReturn(Duration expected, double draw);

}  // namespace kumquatcart

#endif  // ROUTING_WAIT_FORECAST_H_
