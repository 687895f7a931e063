// Circuit breaker for the attempts at one backend server.
#ifndef ROUTING_CIRCUIT_BREAKER_H_
#define ROUTING_CIRCUIT_BREAKER_H_

#include <chrono>

#include "base/clock.h"

namespace kumquatcart {

struct CircuitPolicy {
  int failures_to_open = 3;  // Consecutive.
  Duration initial_open_time = std::chrono::milliseconds(500);
  Duration max_open_time = std::chrono::seconds(15);
};

// Opens after consecutive failures and allows one probe after the open time has
// passed. A success closes the circuit; a failed probe opens it again for twice
// the time. Not thread safe.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(CircuitPolicy policy);

  // Whether an attempt may start now.
  bool Allows(MonotonicTime now) const;

  // Records the start of an attempt. In an open circuit whose time has passed
  // it is the probe, and no other attempt is allowed until it ends.
  void RecordStart(MonotonicTime now);

  void RecordSuccess();
  void RecordFailure(MonotonicTime now);

  // Records the end of an attempt that gives no evidence about the backend
  // server, such as a cancelled one.
  void RecordNeutral();

 private:
  void Open(MonotonicTime now);

  const CircuitPolicy policy;
  int failures = 0;
  bool open = false;
  bool probing = false;
  MonotonicTime open_until;
  Duration open_time{0};
};

}  // namespace kumquatcart

#endif  // ROUTING_CIRCUIT_BREAKER_H_
