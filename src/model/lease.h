// Leases on the right to give orders in one failure domain.
#ifndef MODEL_LEASE_H_
#define MODEL_LEASE_H_

#include <cstdint>
#include <map>
#include <tuple>

#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/ids.h"
#include "model/log_record.h"

namespace kumquatcart {

// Number carried by every order; a receiver refuses one lower than it has seen.
// It is the offset of the record that granted the lease, or one above the
// highest number known to the claimant where that is higher: offsets are given
// out again when the log comes back from an older copy.
using FencingNumber = std::int64_t;

// Record of the lease stream.
struct LeaseRecord {
  enum class Kind { kClaim, kRenew, kRelease };

  Kind kind = Kind::kClaim;
  FailureDomainId failure_domain;
  NodeId holder;
  // Claim: the highest number that the claimant knows. Renew and release: that
  // of the claim.
  FencingNumber fence = 0;
  Offset expected_last =
      kNoOffset;  // Last lease record of this failure domain the writer saw.
  std::int64_t duration_ms = 0;

  auto Tie() const {
    return std::tie(this->kind, this->failure_domain, this->holder, this->fence,
                    this->expected_last, this->duration_ms);
  }
};
NLOHMANN_JSON_SERIALIZE_ENUM(LeaseRecord::Kind,
                             {{LeaseRecord::Kind::kClaim, "claim"},
                              {LeaseRecord::Kind::kRenew, "renew"},
                              {LeaseRecord::Kind::kRelease, "release"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseRecord,
                                   kind,
                                   failure_domain,
                                   holder,
                                   fence,
                                   expected_last,
                                   duration_ms)

// A lease as seen by one node, on that node's own monotonic clock.
struct LeaseView {
  FailureDomainId failure_domain;
  NodeId holder;  // Empty: none.
  FencingNumber fence = 0;
  Offset last_record = kNoOffset;
  MonotonicTime expires_at;  // Local reading; holders use a value earlier than
                             // other nodes do.

  auto Tie() const {
    return std::tie(this->failure_domain, this->holder, this->fence,
                    this->last_record, this->expires_at);
  }
};

struct LeaseTable {
  std::map<FailureDomainId, LeaseView> leases;

  auto Tie() const { return std::tie(this->leases); }
};

}  // namespace kumquatcart

#endif  // MODEL_LEASE_H_
