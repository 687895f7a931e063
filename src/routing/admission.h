// Decision whether and when a request may start.
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

// A request that asks to start.
struct AdmissionRequest {
  RequestId request;
  ObjectName organisation;
  ServiceName service;
  int priority = 0;
  MonotonicTime deadline;    // By when the first token or the answer must come.
  double expected_cost = 1;  // Tokens wanted, or 1 for a plain call.

  auto Tie() const {
    return std::tie(this->request, this->organisation, this->service,
                    this->priority, this->deadline, this->expected_cost);
  }
};

// Admits requests in fair order. All methods are thread safe.
class Admission {
 public:
  // Called once, at once or later, with Ok to start or with the refusal:
  // kExhausted with `retry_after_ms`. A request that cannot make its deadline
  // is refused at once.
  using Decision = std::function<void(Status)>;

  virtual ~Admission() = default;

  virtual void Submit(const AdmissionRequest& request, Decision decide) = 0;

  // Ends an admitted request. `cost` is what it really used. Called once per
  // admitted request.
  virtual void Complete(const AdmissionRequest& request, double cost) = 0;

  // Drops a request that still waits; its decision is called with kCancelled.
  virtual void Abandon(const RequestId& request) = 0;
};

}  // namespace kumquatcart

#endif  // ROUTING_ADMISSION_H_
