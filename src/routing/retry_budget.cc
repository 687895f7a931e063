#include "routing/retry_budget.h"

#include <algorithm>

namespace kumquatcart {

RetryBudget::RetryBudget(double ratio, double capacity)
    : ratio(ratio), capacity(capacity), tokens(capacity) {}

void RetryBudget::RecordFirstAttempt() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->tokens = std::min(this->capacity, this->tokens + this->ratio);
}

bool RetryBudget::TryTakeRetry() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->tokens < 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

}  // namespace kumquatcart
