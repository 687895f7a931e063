#include "control/lease_rules.h"

#include <algorithm>

#include "control/lease_constants.h"

namespace kumquatcart {

namespace {

std::int64_t ClaimableFrom(const LeaseLogEntry& entry) {
  const std::int64_t duration = std::clamp<std::int64_t>(
      entry.record.duration_ms, 0, kMaxLeaseDurationMs);
  return entry.time_unix_ms + duration + kLeaseClockMarginMs;
}

bool ExpectsLastRecord(const LeaseGrant& before, const LeaseLogEntry& entry) {
  if (entry.record.expected_last == before.last_record) {
    return true;
  }
  return entry.record.expected_last == kNoOffset &&
         entry.time_unix_ms >= before.last_record_ms + kLeaseRecordMaxAgeMs;
}

// Returns the fence that the claim `entry` grants. Offsets alone grow as well,
// unless the log came back from an older copy.
FencingNumber GrantedFence(const LeaseGrant& before,
                           const LeaseLogEntry& entry) {
  const FencingNumber named =
      entry.record.fence <= kMaxNamedFence ? entry.record.fence : 0;
  return std::max<FencingNumber>(
      entry.offset, std::max<FencingNumber>(before.fence, named) + 1);
}

// Returns the reason why the claim has no effect; empty if it is effective.
std::string ClaimRefusalReason(const LeaseGrant& before,
                               const LeaseLogEntry& entry) {
  if (!ExpectsLastRecord(before, entry)) {
    return "the claim does not expect the last record";
  }
  const bool own = before.holder == entry.record.holder;
  if (!before.holder.IsEmpty() && !own &&
      entry.time_unix_ms < before.claimable_from_ms) {
    return "the lease of " + before.holder.value + " has not expired";
  }
  return "";
}

bool MatchesCurrentLease(const LeaseGrant& before, const LeaseRecord& record) {
  if (before.holder == record.holder && before.fence == record.fence) {
    return true;
  }
  return !before.claim_seen && before.fence < record.fence;
}

LeaseEvaluation MakeRefusal(LeaseGrant after, std::string reason) {
  return LeaseEvaluation{false, std::move(reason), std::move(after)};
}

}  // namespace

LeaseEvaluation EvaluateLeaseRecord(const LeaseGrant& before,
                                    const LeaseLogEntry& entry) {
  const LeaseRecord& record = entry.record;
  LeaseGrant after = before;
  after.last_record = entry.offset;
  after.last_record_ms = entry.time_unix_ms;
  if (record.kind == LeaseRecord::Kind::kClaim) {
    std::string refusal = ClaimRefusalReason(before, entry);
    if (!refusal.empty()) {
      return MakeRefusal(std::move(after), std::move(refusal));
    }
    after.holder = record.holder;
    after.fence = GrantedFence(before, entry);
    after.claimable_from_ms = ClaimableFrom(entry);
    after.claim_seen = true;
    return LeaseEvaluation{true, "", std::move(after)};
  }
  if (!MatchesCurrentLease(before, record)) {
    return MakeRefusal(std::move(after),
                       "the lease has another holder or fence");
  }
  if (record.kind == LeaseRecord::Kind::kRelease) {
    after.holder = NodeId();
    after.fence = record.fence;
    after.claimable_from_ms = entry.time_unix_ms;
    return LeaseEvaluation{true, "", std::move(after)};
  }
  after.holder = record.holder;
  after.fence = record.fence;
  after.claimable_from_ms =
      std::max(before.claimable_from_ms, ClaimableFrom(entry));
  return LeaseEvaluation{true, "", std::move(after)};
}

LeaseEvaluation LeaseStateMachine::Apply(const LeaseLogEntry& entry) {
  LeaseGrant& grant = this->grants[entry.record.failure_domain];
  if (entry.offset <= this->last_offset) {
    return MakeRefusal(grant, "the record was already applied");
  }
  this->last_offset = entry.offset;
  LeaseEvaluation evaluation = EvaluateLeaseRecord(grant, entry);
  grant = evaluation.after;
  return evaluation;
}

LeaseGrant LeaseStateMachine::Find(
    const FailureDomainId& failure_domain) const {
  const auto found = this->grants.find(failure_domain);
  return found == this->grants.end() ? LeaseGrant() : found->second;
}

const std::map<FailureDomainId, LeaseGrant>& LeaseStateMachine::Grants() const {
  return this->grants;
}

}  // namespace kumquatcart
