// Idempotency store in the memory of one process.
#ifndef FAKES_FAKE_IDEMPOTENCY_STORE_H_
#define FAKES_FAKE_IDEMPOTENCY_STORE_H_

#include <atomic>
#include <map>
#include <mutex>
#include <string>

#include "gateway/idempotency_store.h"

namespace kumquatcart {

// Grants each key once; repeats get the settled state. Thread safe.
class FakeIdempotencyStore : public IdempotencyStore {
 public:
  void Claim(const ClaimKey& key,
             const std::string&,
             Duration,
             Decision decide) override {
    if (this->away) {
      Error error = MakeError(ErrorCode::kUnavailable, "the log is away");
      error.retry_after_ms = 1000;
      decide(error);
      return;
    }
    ClaimVerdict verdict;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      // Inserted as owned by its first asker.
      const auto [entry, first] = this->verdicts.try_emplace(key);
      verdict = entry->second;
      verdict.state = first ? ClaimState::kOwned : verdict.state;
    }
    decide(verdict);
  }

  void Settle(const ClaimKey& key, const ClaimSettlement& settled) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (settled.outcome == RequestOutcome::kNotRun) {
      this->verdicts.erase(key);
      return;
    }
    ClaimVerdict& verdict = this->verdicts[key];
    verdict.answer = settled.answer;
    verdict.state = settled.outcome == RequestOutcome::kCompleted
                        ? ClaimState::kCompleted
                        : ClaimState::kUnknown;
  }

  std::atomic<bool> away{false};  // Claims can't be recorded.

 private:
  std::mutex mutex;
  std::map<ClaimKey, ClaimVerdict> verdicts;
};

}  // namespace kumquatcart

#endif  // FAKES_FAKE_IDEMPOTENCY_STORE_H_
