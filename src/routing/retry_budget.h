// Bound on retries relative to first attempts.
#ifndef ROUTING_RETRY_BUDGET_H_
#define ROUTING_RETRY_BUDGET_H_

#include <mutex>

namespace kumquatcart {

// Tokens earned by first attempts and spent by retries, so that retries stay a
// fixed part of the load when backend servers fail in numbers. Thread safe.
class RetryBudget {
 public:
  // Each first attempt earns `ratio` tokens; at most `capacity` are kept.
  // Starts full.
  RetryBudget(double ratio, double capacity);

  void RecordFirstAttempt();

  // Spends one token. False when there is none: do not retry.
  bool TryTakeRetry();

 private:
  const double ratio;
  const double capacity;
  std::mutex mutex;  // Guards `tokens`; leaf in the lock order.
  double tokens;
};

}  // namespace kumquatcart

#endif  // ROUTING_RETRY_BUDGET_H_
