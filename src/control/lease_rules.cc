#include "control/lease_rules.h"

#include <algorithm>

#include "control/lease_constants.h"

namespace kumquatcart {

namespace {

std::int64_t LiveUntil(const PlacedLeaseRecord& placed) {
  const std::int64_t duration = std::clamp<std::int64_t>(
      placed.record.duration_ms, 0, kMaxLeaseDurationMs);
  return placed.time_unix_ms + duration + kLeaseMarginMs;
}

bool ExpectsLastRecord(const LeaseGrant& before,
                       const PlacedLeaseRecord& placed) {
  if (placed.record.expected_last == before.last_record) {
    return true;
  }
  return placed.record.expected_last == kNoOffset &&
         placed.time_unix_ms >= before.last_record_ms + kLeaseForgetMs;
}

// Returns why the claim has no effect, or nothing.
std::string RefuseClaim(const LeaseGrant& before,
                        const PlacedLeaseRecord& placed) {
  if (!ExpectsLastRecord(before, placed)) {
    return "another record came first";
  }
  const bool own = before.holder == placed.record.holder;
  if (!before.holder.IsEmpty() && !own &&
      placed.time_unix_ms < before.live_until_ms) {
    return "the lease of " + before.holder.value + " is live";
  }
  return "";
}

bool NamesPresentLease(const LeaseGrant& before, const LeaseRecord& record) {
  if (before.holder == record.holder && before.fence == record.fence) {
    return true;
  }
  return !before.claim_seen && before.fence < record.fence;
}

LeaseJudgement Refuse(LeaseGrant after, std::string reason) {
  return LeaseJudgement{false, std::move(reason), std::move(after)};
}

}  // namespace

LeaseJudgement JudgeLeaseRecord(const LeaseGrant& before,
                                const PlacedLeaseRecord& placed) {
  const LeaseRecord& record = placed.record;
  LeaseGrant after = before;
  after.last_record = placed.offset;
  after.last_record_ms = placed.time_unix_ms;
  if (record.kind == LeaseRecord::Kind::kClaim) {
    std::string refusal = RefuseClaim(before, placed);
    if (!refusal.empty()) {
      return Refuse(std::move(after), std::move(refusal));
    }
    after.holder = record.holder;
    after.fence = placed.offset;
    after.live_until_ms = LiveUntil(placed);
    after.claim_seen = true;
    return LeaseJudgement{true, "", std::move(after)};
  }
  if (!NamesPresentLease(before, record)) {
    return Refuse(std::move(after), "the lease has passed on");
  }
  if (record.kind == LeaseRecord::Kind::kRelease) {
    after.holder = NodeId();
    after.fence = record.fence;
    after.live_until_ms = placed.time_unix_ms;
    return LeaseJudgement{true, "", std::move(after)};
  }
  after.holder = record.holder;
  after.fence = record.fence;
  after.live_until_ms = std::max(before.live_until_ms, LiveUntil(placed));
  return LeaseJudgement{true, "", std::move(after)};
}

LeaseJudgement LeaseLedger::Apply(const PlacedLeaseRecord& placed) {
  LeaseGrant& grant = this->grants[placed.record.failure_domain];
  if (placed.offset <= this->last_offset) {
    return Refuse(grant, "already judged");
  }
  this->last_offset = placed.offset;
  LeaseJudgement judgement = JudgeLeaseRecord(grant, placed);
  grant = judgement.after;
  return judgement;
}

LeaseGrant LeaseLedger::Find(const FailureDomainId& failure_domain) const {
  const auto found = this->grants.find(failure_domain);
  return found == this->grants.end() ? LeaseGrant() : found->second;
}

const std::map<FailureDomainId, LeaseGrant>& LeaseLedger::Grants() const {
  return this->grants;
}

}  // namespace kumquatcart
