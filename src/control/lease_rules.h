// Evaluation of lease records as a pure function of the lease stream.
//
// Every node applies the same records in offset order and reaches the same
// state, so that the log alone determines the holder of a lease.
#ifndef CONTROL_LEASE_RULES_H_
#define CONTROL_LEASE_RULES_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "base/comparable.h"
#include "base/ids.h"
#include "model/lease.h"
#include "model/log_record.h"

namespace kumquatcart {

// State of one failure domain's lease after the records applied so far. Times
// are on the platform's clock.
struct LeaseGrant {
  NodeId holder;                   // Empty: none.
  FencingNumber fence = 0;         // That the claim granted.
  Offset last_record = kNoOffset;  // Last record, effective or not.
  std::int64_t last_record_ms = 0;
  std::int64_t claimable_from_ms = 0;  // First time for others' claims.
  bool claim_seen = false;             // False: state is from renewals only.

  auto Tie() const {
    return std::tie(this->holder, this->fence, this->last_record,
                    this->last_record_ms, this->claimable_from_ms,
                    this->claim_seen);
  }
};

// A lease record with its offset and time in the log.
struct LeaseLogEntry {
  Offset offset = kNoOffset;
  std::int64_t time_unix_ms = 0;
  LeaseRecord record;

  auto Tie() const {
    return std::tie(this->offset, this->time_unix_ms, this->record);
  }
};

// Result of evaluating one record.
struct LeaseEvaluation {
  bool effective = false;
  std::string reason;  // Why the record had no effect; empty otherwise.
  LeaseGrant after;

  auto Tie() const {
    return std::tie(this->effective, this->reason, this->after);
  }
};

// Evaluates `entry` against `before`, the state after all earlier records.
//
// A claim takes effect when it expects the last record of its failure domain
// and the lease is free, already belongs to the claimant, or has passed its
// duration plus kLeaseClockMarginMs. It grants a fence above all earlier ones
// and above the one that it names, as far as that is at most kMaxNamedFence. A
// renewal or release takes effect when it matches the current holder and fence.
// If retention has removed the claim, the renewal with the highest fence
// determines the holder instead. Pure; thread safe.
LeaseEvaluation EvaluateLeaseRecord(const LeaseGrant& before,
                                    const LeaseLogEntry& entry);

// Lease state of all failure domains. Not thread safe.
class LeaseStateMachine {
 public:
  // Applies one record and returns its evaluation. A record at or below the
  // last applied offset has no effect. Precondition: offsets come in order.
  LeaseEvaluation Apply(const LeaseLogEntry& entry);

  // Returns the lease of one failure domain; empty when it has no records.
  LeaseGrant Find(const FailureDomainId& failure_domain) const;

  const std::map<FailureDomainId, LeaseGrant>& Grants() const;

 private:
  std::map<FailureDomainId, LeaseGrant> grants;
  Offset last_offset = kNoOffset;
};

}  // namespace kumquatcart

#endif  // CONTROL_LEASE_RULES_H_
