// Rate limiter with a bounded burst.
#ifndef BASE_TOKEN_BUCKET_H_
#define BASE_TOKEN_BUCKET_H_

#include "base/clock.h"

namespace kumquatcart {

// Refills at `rate` units per second up to `rate` times `burst`. The level may
// become negative, so that a cost that is known only afterwards is repaid
// before more is allowed. Not thread safe.
class TokenBucket {
 public:
  // Starts full.
  TokenBucket(double rate, Duration burst, MonotonicTime now);

  // Changes the rate from `now` on. Reduces the level to the new capacity if it
  // is higher.
  void SetRate(double rate, MonotonicTime now);

  // Whether the level is above zero.
  bool HasCredit(MonotonicTime now);

  // Deducts `cost`; a negative cost is a refund.
  void Spend(double cost, MonotonicTime now);

  // Time until HasCredit returns true, at most one minute; zero if it does now.
  Duration TimeUntilCredit(MonotonicTime now);

 private:
  void Refill(MonotonicTime now);
  double Capacity() const;

  double rate;
  const Duration burst;
  MonotonicTime refilled_at;
  double level;
};

}  // namespace kumquatcart

#endif  // BASE_TOKEN_BUCKET_H_
