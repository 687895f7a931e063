// Stops attempts at a backend server that keeps failing.
#ifndef ROUTING_CIRCUIT_BREAKER_H_
#define ROUTING_CIRCUIT_BREAKER_H_

#include <chrono>

#include "base/clock.h"

namespace kumquatcart {

struct CircuitPolicy {
  int failures_to_open = 3;  // In a row.
  Duration first_open = std::chrono::milliseconds(500);
  Duration longest_open = std::chrono::seconds(15);
};

// Opens after failures in a row, lets one probe through when its time is over,
// closes on a success and doubles the time on a failed probe. Not thread safe.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(CircuitPolicy policy);

  // Whether an attempt may start now.
  bool Allows(MonotonicTime now) const;

  // An attempt starts; while open it is the probe, and no other is allowed
  // until it ends.
  void RecordStart(MonotonicTime now);

  void RecordSuccess();
  void RecordFailure(MonotonicTime now);

  // An attempt ended that says nothing about the backend server.
  void RecordNeutral();

 private:
  void Open(MonotonicTime now);

  const CircuitPolicy policy;
  int failures = 0;
  bool open = false;
  bool probing = false;
  MonotonicTime open_until;
  Duration open_for{0};
};

}  // namespace kumquatcart

#endif  // ROUTING_CIRCUIT_BREAKER_H_
