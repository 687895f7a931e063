// Rate limit with a bounded burst.
#ifndef ROUTING_TOKEN_BUCKET_H_
#define ROUTING_TOKEN_BUCKET_H_

#include "base/clock.h"

namespace kumquatcart {

// Earns `rate` units a second up to `rate` times `burst`. Spending may go into
// debt, so that a cost known only afterwards is paid back before more is let
// through. Not thread safe.
class TokenBucket {
 public:
  // Starts full.
  TokenBucket(double rate, Duration burst, MonotonicTime now);

  // Changes the rate from `now` on.
  void SetRate(double rate, MonotonicTime now);

  // Whether anything may be spent now.
  bool HasCredit(MonotonicTime now);

  // Spends `cost`.
  void Spend(double cost, MonotonicTime now);

  // How long until there is credit again; zero when there is.
  Duration UntilCredit(MonotonicTime now);

 private:
  void Earn(MonotonicTime now);
  double Capacity() const;

  double rate;
  const Duration burst;
  MonotonicTime earned_until;
  double level;
};

}  // namespace kumquatcart

#endif  // ROUTING_TOKEN_BUCKET_H_
