// Records of idempotency key claims and the table they make.
#ifndef GATEWAY_CLAIM_RECORD_H_
#define GATEWAY_CLAIM_RECORD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/ids.h"
#include "gateway/idempotency_store.h"
#include "model/log_record.h"
#include "model/request.h"

namespace kumquatcart {

// One entry of a record: a claim on a key, or the end of a claimed request.
struct ClaimEntry {
  enum class Kind { kClaim, kSettle };

  Kind kind = Kind::kClaim;
  ClaimKey key;
  AttemptId claim;     // The claim made or settled.
  std::string digest;  // With kClaim: of the request's content.
  RequestOutcome outcome = RequestOutcome::kUnknown;  // With kSettle.
  StoredAnswer answer;                                // With kSettle.

  auto Tie() const {
    return std::tie(this->kind, this->key, this->claim, this->digest,
                    this->outcome, this->answer);
  }
};
NLOHMANN_JSON_SERIALIZE_ENUM(ClaimEntry::Kind,
                             {{ClaimEntry::Kind::kClaim, "claim"},
                              {ClaimEntry::Kind::kSettle, "settle"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimEntry,
                                                kind,
                                                key,
                                                claim,
                                                digest,
                                                outcome,
                                                answer)

// Payload of one append: entries of many requests.
struct ClaimRecord {
  std::vector<ClaimEntry> entries;

  auto Tie() const { return std::tie(this->entries); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimRecord, entries)

// What the log says about one key.
struct ClaimStatus {
  AttemptId claim;  // The claim that won.
  std::string digest;
  bool settled = false;
  RequestOutcome outcome = RequestOutcome::kUnknown;
  StoredAnswer answer;
  std::int64_t claimed_at_unix_ms = 0;  // The platform's clock.

  auto Tie() const {
    return std::tie(this->claim, this->digest, this->settled, this->outcome,
                    this->answer, this->claimed_at_unix_ms);
  }
};

// The claims of the retained stream. The first claim of a key wins; one settled
// as not run frees its key. Pure state; not thread safe.
class ClaimTable {
 public:
  // Forgets claims `window` after they were made.
  explicit ClaimTable(Duration window);

  // Applies the record at the next offset. Entries of a settled claim that is
  // not the winner are ignored.
  void Apply(const ClaimRecord& record, std::int64_t time_unix_ms);

  // The entries that make the claims of this table whose keys are free in
  // `other`; the settlement of a claim follows it.
  std::vector<ClaimEntry> EntriesMissingIn(const ClaimTable& other) const;

  // The status of `key`, or nullptr when it is free.
  const ClaimStatus* Find(const ClaimKey& key) const;

  std::size_t Size() const { return this->claims.size(); }

 private:
  struct Made {
    std::int64_t time_unix_ms = 0;
    ClaimKey key;
    AttemptId claim;
  };

  void ApplyEntry(const ClaimEntry& entry, std::int64_t time_unix_ms);
  void Forget(std::int64_t before_unix_ms);

  const Duration window;
  std::map<ClaimKey, ClaimStatus> claims;
  std::deque<Made> by_time;
};

}  // namespace kumquatcart

#endif  // GATEWAY_CLAIM_RECORD_H_
