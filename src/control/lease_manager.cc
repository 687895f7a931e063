#include "control/lease_manager.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/json.h"
#include "base/logging.h"
#include "control/lease_constants.h"

namespace kumquatcart {

namespace {

using std::chrono::milliseconds;

// The holder treats its lease as expired this long before its duration ends.
constexpr Duration kHolderExpiryMargin = milliseconds(250);

// A read from this offset returns no records, only the bounds of the stream.
constexpr Offset kBeyondEnd = std::numeric_limits<Offset>::max() / 2;

// Minimum time between two log lines of one event.
constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

SettingGroup DescribeSettings(LeaseSettings* settings) {
  return SettingGroup{
      "Leases",
      {
          DurationSetting("lease-duration-ms",
                          "Duration of a placement lease unless it is renewed.",
                          &settings->duration, milliseconds(1000),
                          milliseconds(kMaxLeaseDurationMs)),
          DurationSetting("lease-renew-interval-ms",
                          "Time between renewals of a held lease.",
                          &settings->renew_interval, milliseconds(100),
                          milliseconds(kMaxLeaseDurationMs)),
          DurationSetting("lease-poll-interval-ms",
                          "Time between reads of the lease stream.",
                          &settings->poll_interval, milliseconds(50),
                          milliseconds(kMaxLeaseDurationMs)),
          DurationSetting("lease-claim-stagger-ms",
                          "Additional wait per candidate rank before a node "
                          "claims a free lease.",
                          &settings->claim_stagger, milliseconds(0),
                          milliseconds(kMaxLeaseDurationMs)),
          IntSetting("lease-candidates",
                     "Entry VMs per failure domain that may claim its lease.",
                     &settings->candidates, 1, 64),
      }};
}

LeaseManager::LeaseManager(Clock* clock,
                           WorkerPool* pool,
                           Board* board,
                           LogService* log,
                           MetricRegistry* metrics,
                           LeaseSettings settings)
    : clock(clock),
      board(board),
      log(log),
      settings(settings),
      appends(metrics->GetCounter("kumquatcart_lease_appends_total")),
      append_failures(
          metrics->GetCounter("kumquatcart_lease_append_failures_total")),
      held(metrics->GetGauge("kumquatcart_lease_held")),
      failure_lines(kLogInterval),
      malformed_lines(kLogInterval),
      last_append_at(clock->Now() - settings.renew_interval),
      claim_not_before(clock->Now()),
      held_until(clock->Now()),
      acquired_at(clock->Now()),
      task(std::make_unique<PeriodicTask>(clock,
                                          pool,
                                          settings.poll_interval,
                                          [this] { this->RunOnce(); })) {}

void LeaseManager::Start() {
  this->task->Start();
}

void LeaseManager::Stop() {
  this->task->Stop();
  const std::lock_guard<std::mutex> round(this->round_mutex);
  if (!this->HoldsLease(this->clock->Now())) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->held_until = this->clock->Now();
  }
  this->Append(LeaseRecord::Kind::kRelease);
}

void LeaseManager::RunOnce() {
  const std::lock_guard<std::mutex> round(this->round_mutex);
  std::int64_t rank = 0;
  const bool candidate = this->IsCandidate(&rank);
  if (!candidate && !this->HoldsLease(this->clock->Now())) {
    this->held.Set(0);
    return;
  }
  const Status read = this->ReadNewRecords();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->log_reachable = read.has_value();
  }
  // Appends may succeed although the read failed, so a held lease is renewed.
  if (read.has_value() || this->HoldsLease(this->clock->Now())) {
    this->ClaimOrRenew(rank);
  }
  this->Publish();
}

bool LeaseManager::HoldsLease(MonotonicTime now) const {
  return this->GetOrderAuthority(now).right == EngineScope::kAllEngines;
}

OrderAuthority LeaseManager::GetOrderAuthority(MonotonicTime now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const LeaseGrant grant =
      this->lease_states.Find(this->board->identity.failure_domain);
  OrderAuthority standing;
  if (grant.holder != this->board->identity.id) {
    return standing;
  }
  standing.fence = grant.fence;
  standing.acquired_at = this->acquired_at;
  standing.expires_at = this->held_until;
  if (now < this->held_until) {
    standing.right = EngineScope::kAllEngines;
  } else if (!this->log_reachable) {
    standing.right = EngineScope::kFencedEnginesOnly;
  }
  return standing;
}

bool LeaseManager::IsCandidate(std::int64_t* rank) const {
  const auto members = this->board->members.Read();
  const NodeIdentity& self = this->board->identity;
  *rank = 0;
  for (const auto& [id, member] : members->members) {
    const bool is_candidate =
        member.identity.failure_domain == self.failure_domain &&
        member.state == MemberState::kAlive && member.platform_reachable;
    if (is_candidate && id < self.id) {
      ++*rank;
    }
  }
  return *rank < this->settings.candidates;
}

Status LeaseManager::ReadNewRecords() {
  Status read = this->TryReadNewRecords();
  if (read.has_error()) {
    if (const auto suppressed = this->failure_lines.Pass(this->clock->Now())) {
      LogWarning("lease_read_failed", {{"reason", read.error().message},
                                       {"offset", this->place.offset},
                                       {"suppressed", *suppressed}});
    }
  }
  return read;
}

Status LeaseManager::TryReadNewRecords() {
  // Searched once: a start offset that is past retention again is searched in
  // the next round.
  bool has_searched = !this->has_start;
  bool has_forgotten = false;
  if (has_searched) {
    BOOST_OUTCOME_TRYV(this->FindStartOffset());
  }
  while (true) {
    // An answer that repeats the last record is of the history that was read.
    const Offset from = this->place.offset + (this->place.IsKnown() ? 0 : 1);
    Result<LogBatch> batch =
        this->log->Read(kLeaseStream, from, kLeaseReadBatch, Duration(0));
    if (batch.has_error() && batch.error().code == ErrorCode::kExpired) {
      if (this->place.IsKnown()) {
        // The last record is past retention; the next one may not be.
        const Offset last_read = this->place.offset;
        this->place = LogPlace();
        this->place.offset = last_read;
        continue;
      }
      if (!has_searched) {
        has_searched = true;
        BOOST_OUTCOME_TRYV(this->FindStartOffset());
        continue;
      }
    }
    BOOST_OUTCOME_TRYV(batch);
    const std::vector<LogRecord>& records = batch.value().records;
    const bool is_other_record = !records.empty() &&
                                 records.front().offset == this->place.offset &&
                                 !this->place.Names(records.front());
    const bool is_lost =
        batch.value().last < this->place.offset || is_other_record;
    if (is_lost && !has_forgotten) {
      has_forgotten = true;
      has_searched = true;
      this->ForgetHistory(batch.value().last);
      BOOST_OUTCOME_TRYV(this->FindStartOffset());
      continue;
    }
    const MonotonicTime now = this->clock->Now();
    for (const LogRecord& record : records) {
      if (record.offset == this->place.offset && this->place.Names(record)) {
        continue;
      }
      if (record.offset <= this->place.offset) {
        return MakeError(ErrorCode::kUnavailable,
                         "the log returned a record from before the offset "
                         "that was read");
      }
      this->ApplyRecord(record, now);
      this->place = this->place.Next(record);
    }
    if (records.size() < kLeaseReadBatch) {
      return Ok();
    }
  }
}

Status LeaseManager::FindStartOffset() {
  BOOST_OUTCOME_TRY(bounds,
                    this->log->Read(kLeaseStream, kBeyondEnd, 1, Duration(0)));
  const Offset first = std::max<Offset>(bounds.first_retained, 1);
  Offset start = std::max<Offset>(bounds.last, first);
  std::int64_t newest_ms = 0;
  for (std::int64_t step = kLeaseSearchInitialStep; start > first; step *= 2) {
    BOOST_OUTCOME_TRY(batch,
                      this->log->Read(kLeaseStream, start, 1, Duration(0)));
    if (batch.records.empty()) {
      break;
    }
    const std::int64_t time_ms = batch.records.front().time_unix_ms;
    newest_ms = std::max(newest_ms, time_ms);
    if (time_ms < newest_ms - kLeaseRecordMaxAgeMs) {
      break;
    }
    start = std::max(first, start - step);
  }
  this->place = LogPlace();
  this->place.offset = start - 1;
  this->has_start = true;
  return Ok();
}

void LeaseManager::ForgetHistory(Offset last) {
  LogWarning("lease_records_lost",
             {{"log_last", last}, {"offset", this->place.offset}});
  this->has_start = false;
  const MonotonicTime now = this->clock->Now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  const FailureDomainId& own = this->board->identity.failure_domain;
  const LeaseGrant grant = this->lease_states.Find(own);
  this->lost_fence = std::max(this->lost_fence, grant.fence);
  const auto expiry = this->estimated_expiry.find(own);
  if (grant.holder != this->board->identity.id &&
      expiry != this->estimated_expiry.end()) {
    this->claim_not_before = std::max(this->claim_not_before, expiry->second);
  }
  this->lease_states = LeaseStateMachine();
  this->estimated_expiry.clear();
  this->held_until = now;
}

FencingNumber LeaseManager::HighestKnownFence() const {
  const FailureDomainId& own = this->board->identity.failure_domain;
  FencingNumber highest =
      std::max(this->lost_fence, this->lease_states.Find(own).fence);
  const auto vms = this->board->vms.Read();
  const auto engines = this->board->engines.Read();
  for (const auto& [id, observation] : engines->engines) {
    const auto vm = vms->vms.find(id);
    const FencingNumber reported = observation.status.fence;
    if (vm != vms->vms.end() && vm->second.failure_domain == own &&
        reported < kMaxNamedFence) {
      highest = std::max(highest, reported);
    }
  }
  return highest;
}

void LeaseManager::ApplyRecord(const LogRecord& record, MonotonicTime now) {
  const Result<LeaseRecord> decoded = DecodeJson<LeaseRecord>(record.payload);
  if (decoded.has_error()) {
    if (const auto suppressed = this->malformed_lines.Pass(now)) {
      LogWarning("lease_record_malformed", {{"offset", record.offset},
                                            {"reason", decoded.error().message},
                                            {"suppressed", *suppressed}});
    }
    return;
  }
  const LeaseLogEntry entry{record.offset, record.time_unix_ms,
                            decoded.value()};
  const std::lock_guard<std::mutex> lock(this->mutex);
  const LeaseEvaluation evaluation = this->lease_states.Apply(entry);
  if (evaluation.effective) {
    this->estimated_expiry[entry.record.failure_domain] =
        now +
        milliseconds(evaluation.after.claimable_from_ms - entry.time_unix_ms);
    this->ApplyOwnRecord(entry, record, now);
  }
  this->pending.erase(record.append_id);
}

void LeaseManager::ApplyOwnRecord(const LeaseLogEntry& entry,
                                  const LogRecord& record,
                                  MonotonicTime now) {
  const auto sent = this->pending.find(record.append_id);
  if (sent == this->pending.end() ||
      entry.record.kind == LeaseRecord::Kind::kRelease) {
    return;
  }
  if (entry.record.kind == LeaseRecord::Kind::kClaim) {
    this->acquired_at = now;
    this->held_until = sent->second.sent_at;
    LogInfo("lease_acquired", {{"failure_domain", entry.record.failure_domain},
                               {"fence", entry.offset}});
  }
  this->held_until =
      std::max(this->held_until, sent->second.sent_at + sent->second.duration -
                                     kHolderExpiryMargin);
}

void LeaseManager::ClaimOrRenew(std::int64_t rank) {
  const MonotonicTime now = this->clock->Now();
  if (this->IsRenewalDue(now)) {
    this->Append(LeaseRecord::Kind::kRenew);
  } else if (this->IsClaimDue(now, rank)) {
    this->Append(LeaseRecord::Kind::kClaim);
  } else {
    return;
  }
  const Status read = this->ReadNewRecords();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->log_reachable = read.has_value();
}

bool LeaseManager::IsRenewalDue(MonotonicTime now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const LeaseGrant grant =
      this->lease_states.Find(this->board->identity.failure_domain);
  return grant.holder == this->board->identity.id &&
         now >= this->last_append_at + this->settings.renew_interval;
}

bool LeaseManager::IsClaimDue(MonotonicTime now, std::int64_t rank) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const FailureDomainId& own = this->board->identity.failure_domain;
  const LeaseGrant grant = this->lease_states.Find(own);
  if (grant.holder == this->board->identity.id ||
      now < this->last_append_at + this->settings.renew_interval) {
    return false;
  }
  const Duration stagger = this->settings.claim_stagger * rank;
  const auto expiry = this->estimated_expiry.find(own);
  return now >= this->claim_not_before &&
         (expiry == this->estimated_expiry.end() ||
          now >= expiry->second + stagger);
}

void LeaseManager::Append(LeaseRecord::Kind kind) {
  LeaseRecord record;
  const AppendId append_id = MakeId<AppendId>();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const MonotonicTime now = this->clock->Now();
    const LeaseGrant grant =
        this->lease_states.Find(this->board->identity.failure_domain);
    record.kind = kind;
    record.failure_domain = this->board->identity.failure_domain;
    record.holder = this->board->identity.id;
    record.fence = kind == LeaseRecord::Kind::kClaim ? this->HighestKnownFence()
                                                     : grant.fence;
    record.expected_last = grant.last_record;
    record.duration_ms = ToMillis(this->settings.duration);
    this->last_append_at = now;
    // Measured from before the append, so that the lease expires on the holder
    // before other nodes may claim it.
    this->pending[append_id] = PendingAppend{now, this->settings.duration};
  }
  this->appends.Add();
  const Result<Offset> appended =
      this->log->Append(kLeaseStream, append_id, Json(record).dump());
  if (appended.has_value()) {
    return;
  }
  this->append_failures.Add();
  LogWarning("lease_append_failed", {{"kind", Json(kind).get<std::string>()},
                                     {"reason", appended.error().message}});
  const ErrorCode code = appended.error().code;
  if (code == ErrorCode::kUnavailable || code == ErrorCode::kExhausted) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->pending.erase(append_id);
  }
}

void LeaseManager::Publish() {
  LeaseTable table;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& [failure_domain, grant] : this->lease_states.Grants()) {
      const bool own = grant.holder == this->board->identity.id;
      LeaseView view;
      view.failure_domain = failure_domain;
      view.holder = grant.holder;
      view.fence = grant.fence;
      view.last_record = grant.last_record;
      view.expires_at =
          own ? this->held_until : this->estimated_expiry[failure_domain];
      table.leases[failure_domain] = std::move(view);
    }
  }
  this->held.Set(this->HoldsLease(this->clock->Now()) ? 1 : 0);
  this->board->leases.Publish(std::move(table));
}

}  // namespace kumquatcart
