// Agreement between entry VMs on who runs a keyed request.
#ifndef GATEWAY_IDEMPOTENCY_STORE_H_
#define GATEWAY_IDEMPOTENCY_STORE_H_

#include <functional>
#include <string>
#include <tuple>

#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "model/request.h"

namespace kumquatcart {

// Names one keyed request, whichever entry VM it came through.
struct ClaimKey {
  ObjectName organisation;
  ServiceName service;
  IdempotencyKey key;

  auto Tie() const {
    return std::tie(this->organisation, this->service, this->key);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimKey, organisation, service, key)

// The answer of a completed keyed request, kept for repeats of it.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  // The body was too large to keep; `body` is empty.
  bool body_dropped = false;

  auto Tie() const {
    return std::tie(this->status, this->content_type, this->body,
                    this->body_dropped);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StoredAnswer,
                                                status,
                                                content_type,
                                                body,
                                                body_dropped)

// What became of the request with a claimed key.
enum class ClaimState {
  kOwned,      // The asker runs it, and must call Settle.
  kCompleted,  // Ran before; the answer is known.
  kUnknown,    // May have run before; no answer is known.
  kMismatch,   // The key belongs to a different request.
};

struct ClaimVerdict {
  ClaimState state = ClaimState::kUnknown;
  StoredAnswer answer;  // With kCompleted.

  auto Tie() const { return std::tie(this->state, this->answer); }
};

// How the owner of a claim ended its request.
struct ClaimSettlement {
  RequestOutcome outcome = RequestOutcome::kUnknown;
  StoredAnswer answer;  // With kCompleted.

  auto Tie() const { return std::tie(this->outcome, this->answer); }
};

// Grants each keyed request to one run. Thread safe.
class IdempotencyStore {
 public:
  using Decision = std::function<void(Result<ClaimVerdict>)>;

  virtual ~IdempotencyStore() = default;

  // Claims `key` for a request whose content has the digest `digest`. Calls
  // `decide` once, on any thread; waits for another run's end for up to
  // `patience` and then reports kUnknown. An error means that the request must
  // not run: kUnavailable or kExhausted, with `retry_after_ms`.
  virtual void Claim(const ClaimKey& key,
                     const std::string& digest,
                     Duration patience,
                     Decision decide) = 0;

  // Ends an owned claim. With kNotRun the key may be claimed again.
  virtual void Settle(const ClaimKey& key,
                      const ClaimSettlement& settlement) = 0;
};

}  // namespace kumquatcart

#endif  // GATEWAY_IDEMPOTENCY_STORE_H_
