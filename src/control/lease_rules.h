// Judgement of lease records: a pure function of the lease stream.
//
// Every node folds the same records in offset order and reaches the same
// verdicts, so that the log alone decides who holds a lease.
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

// What the records up to now say about one failure domain's lease. Times are
// the platform's.
struct LeaseGrant {
  NodeId holder;                   // Empty: none.
  FencingNumber fence = 0;         // Offset of the claim.
  Offset last_record = kNoOffset;  // Last record, with or without effect.
  std::int64_t last_record_ms = 0;
  std::int64_t claimable_from_ms = 0;  // First time another's claim can win.
  bool claim_seen = false;             // False: known from a renewal only.

  auto Tie() const {
    return std::tie(this->holder, this->fence, this->last_record,
                    this->last_record_ms, this->claimable_from_ms,
                    this->claim_seen);
  }
};

// A lease record with its place in the log.
struct LeaseLogEntry {
  Offset offset = kNoOffset;
  std::int64_t time_unix_ms = 0;
  LeaseRecord record;

  auto Tie() const {
    return std::tie(this->offset, this->time_unix_ms, this->record);
  }
};

// Verdict on one record.
struct LeaseEvaluation {
  bool effective = false;
  std::string reason;  // Why the record had no effect; empty otherwise.
  LeaseGrant after;

  auto Tie() const {
    return std::tie(this->effective, this->reason, this->after);
  }
};

// Judges `entry` after the records folded into `before`.
//
// A claim takes effect when it expects the last record of its failure domain
// and the lease is free, its own or past duration plus kLeaseClockMarginMs. A
// renewal or release takes effect when it names the present holder and fence.
// While no claim was seen, since retention dropped it, the renewal with the
// highest fence stands for it.
LeaseEvaluation EvaluateLeaseRecord(const LeaseGrant& before,
                                    const LeaseLogEntry& entry);

// The leases of every failure domain. Not thread safe.
class LeaseStateMachine {
 public:
  // Folds one record and returns its verdict. A record at or below the last
  // folded offset has no effect. Precondition: offsets come in order.
  LeaseEvaluation Apply(const LeaseLogEntry& entry);

  // The grant of one failure domain; empty when it has no records.
  LeaseGrant Find(const FailureDomainId& failure_domain) const;

  const std::map<FailureDomainId, LeaseGrant>& Grants() const;

 private:
  std::map<FailureDomainId, LeaseGrant> grants;
  Offset last_offset = kNoOffset;
};

}  // namespace kumquatcart

#endif  // CONTROL_LEASE_RULES_H_
