#include "base/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace kumquatcart {

namespace {

// Upper bound of the reported wait; also reported for a rate of zero.
constexpr Duration kMaxReportedWait = std::chrono::minutes(1);

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

TokenBucket::TokenBucket(double rate, Duration burst, MonotonicTime now)
    : rate(rate), burst(burst), refilled_at(now), level(this->Capacity()) {}

void TokenBucket::SetRate(double rate, MonotonicTime now) {
  this->Refill(now);
  this->rate = rate;
  this->level = std::min(this->level, this->Capacity());
}

bool TokenBucket::HasCredit(MonotonicTime now) {
  this->Refill(now);
  return this->level > 0;
}

void TokenBucket::Spend(double cost, MonotonicTime now) {
  this->Refill(now);
  this->level -= cost;
}

Duration TokenBucket::TimeUntilCredit(MonotonicTime now) {
  this->Refill(now);
  if (this->level > 0) {
    return Duration(0);
  }
  if (this->rate <= 0) {
    return kMaxReportedWait;
  }
  const std::chrono::duration<double> wait(-this->level / this->rate);
  if (wait >= kMaxReportedWait) {
    return kMaxReportedWait;
  }
  // The wait is rounded up, so that the level is above zero when it ends.
  return std::chrono::duration_cast<Duration>(wait) + Duration(1);
}

void TokenBucket::Refill(MonotonicTime now) {
  if (now <= this->refilled_at) {
    return;
  }
  this->level += this->rate * ToSeconds(now - this->refilled_at);
  this->level = std::min(this->level, this->Capacity());
  this->refilled_at = now;
}

double TokenBucket::Capacity() const {
  return this->rate * ToSeconds(this->burst);
}

}  // namespace kumquatcart
