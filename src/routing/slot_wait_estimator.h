// Estimate of the time that a request waits for a slot.
#ifndef ROUTING_SLOT_WAIT_ESTIMATOR_H_
#define ROUTING_SLOT_WAIT_ESTIMATOR_H_

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// Estimates waits from the recent rate at which slots of a model became free.
// Not thread safe.
class SlotWaitEstimator {
 public:
  // Records that a slot of `model` became free.
  void RecordRelease(const std::string& model, MonotonicTime now);

  // Time until a request with `ahead` others before it in the queue gets a
  // slot. The whole length of the window if no slot became free within it.
  Duration EstimateWait(const std::string& model, int ahead, MonotonicTime now);

 private:
  std::map<std::string, std::deque<MonotonicTime>> releases;
};

// Retry-After of a refused request: between one and two times `expected`,
// within fixed limits. The jitter keeps callers that are refused together from
// retrying at the same time. `draw`: uniform random number, 0 up to 1. Thread
// safe.
Duration JitteredRetryAfter(Duration expected, double draw);

}  // namespace kumquatcart

#endif  // ROUTING_SLOT_WAIT_ESTIMATOR_H_
