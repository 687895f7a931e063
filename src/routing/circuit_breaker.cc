#include "routing/circuit_breaker.h"

#include <algorithm>

namespace kumquatcart {

CircuitBreaker::CircuitBreaker(CircuitPolicy policy) : policy(policy) {}

bool CircuitBreaker::Allows(MonotonicTime now) const {
  return !this->open || (!this->probing && now >= this->open_until);
}

void CircuitBreaker::RecordStart(MonotonicTime now) {
  if (this->open && now >= this->open_until) {
    this->probing = true;
  }
}

void CircuitBreaker::RecordSuccess() {
  this->failures = 0;
  this->open = false;
  this->probing = false;
  this->open_time = Duration(0);
}

void CircuitBreaker::RecordFailure(MonotonicTime now) {
  ++this->failures;
  // Failures of attempts that began before the circuit opened do not extend the
  // open time.
  const bool failed_probe = this->open && this->probing;
  const bool reached_limit =
      !this->open && this->failures >= this->policy.failures_to_open;
  if (failed_probe || reached_limit) {
    this->Open(now);
  }
}

void CircuitBreaker::RecordNeutral() {
  this->probing = false;
}

void CircuitBreaker::Open(MonotonicTime now) {
  this->open = true;
  this->probing = false;
  this->open_time =
      this->open_time == Duration(0)
          ? this->policy.initial_open_time
          : std::min(2 * this->open_time, this->policy.max_open_time);
  this->open_until = now + this->open_time;
}

}  // namespace kumquatcart
