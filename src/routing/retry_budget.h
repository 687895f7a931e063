// Bound on the number of retries relative to first attempts.
#ifndef ROUTING_RETRY_BUDGET_H_
#define ROUTING_RETRY_BUDGET_H_

#include <mutex>

namespace kumquatcart {

// Token bucket that first attempts fill and retries empty. Retries stay a fixed
// fraction of the load when many backend servers fail. Thread safe.
class RetryBudget {
 public:
  // Each first attempt adds `ratio` tokens, up to `capacity`. The bucket starts
  // full.
  RetryBudget(double ratio, double capacity);

  void RecordFirstAttempt();

  // Takes one token. False if less than one is left: the caller must not retry.
  bool TryTakeRetry();

 private:
  const double ratio;
  const double capacity;
  std::mutex mutex;  // Guards `tokens`; leaf in the lock order.
  double tokens;
};

}  // namespace kumquatcart

#endif  // ROUTING_RETRY_BUDGET_H_
