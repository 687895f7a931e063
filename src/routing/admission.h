// Interface that decides whether and when a request may start.
#ifndef ROUTING_ADMISSION_H_
#define ROUTING_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/ids.h"
#include "base/outcome.h"

namespace kumquatcart {

// A request to be admitted.
struct AdmissionRequest {
  RequestId request;
  ObjectName organisation;
  ServiceName service;
  int priority = 0;
  MonotonicTime deadline;    // For the first token or the response.
  double expected_cost = 1;  // Requested tokens, or 1 for a plain service.

  auto Tie() const {
    return std::tie(this->request, this->organisation, this->service,
                    this->priority, this->deadline, this->expected_cost);
  }
};

// Admits requests in weighted fair order. All methods are thread safe.
class Admission {
 public:
  // Called once, either from Submit or later, with Ok if the request may start
  // or with an error: kExhausted with `retry_after_ms` if a quota is used up or
  // the deadline cannot be met, kUnavailable with `retry_after_ms` if the
  // service has no capacity, kCancelled after CancelWaiting.
  using DecisionCallback = std::function<void(Status)>;

  virtual ~Admission() = default;

  virtual void Submit(const AdmissionRequest& request,
                      DecisionCallback decide) = 0;

  // Records the end of an admitted request. `cost` is its actual cost, in the
  // unit of `expected_cost`. Called once per admitted request.
  virtual void Complete(const AdmissionRequest& request, double cost) = 0;

  // Removes a queued request and calls its decision with kCancelled. Has no
  // effect on a request that is not queued.
  virtual void CancelWaiting(const RequestId& request) = 0;
};

}  // namespace kumquatcart

#endif  // ROUTING_ADMISSION_H_
