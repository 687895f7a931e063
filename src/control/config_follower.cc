#include "control/config_follower.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "base/progress_pacer.h"
#include "control/snapshot_reader.h"

namespace kumquatcart {

namespace {

constexpr std::size_t kMaxRecordsPerRead = 256;
// Time between two comparisons of the last record with that of a log which
// seems to have nothing new; it may have been lost and replaced.
constexpr Duration kConfirmInterval = std::chrono::seconds(10);
constexpr Duration kPauseStep = std::chrono::milliseconds(50);
// Minimum time between two log lines of one event.
constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

ConfigFollower::ConfigFollower(Clock* clock,
                               LogService* log,
                               ConfigReplica* replica,
                               MetricRegistry* metrics,
                               const ConfigSettings& settings)
    : clock(clock),
      log(log),
      replica(replica),
      settings(settings),
      reads_log([] { return true; }),
      on_new_records([] {}),
      lag(metrics->GetGauge("kumquatcart_config_lag_records")),
      reachable_gauge(metrics->GetGauge("kumquatcart_config_log_reachable")),
      reads(metrics->GetCounter("kumquatcart_config_log_reads_total")),
      read_failures(
          metrics->GetCounter("kumquatcart_config_log_read_failures_total")),
      gaps(metrics->GetCounter("kumquatcart_config_gaps_total")),
      replaced_histories(
          metrics->GetCounter("kumquatcart_config_replaced_histories_total")),
      confirm_at(clock->Now() + kConfirmInterval),
      behind_lines(kLogInterval),
      failure_lines(kLogInterval),
      lost_lines(kLogInterval) {
  this->reachable_gauge.Set(1);
}

ConfigFollower::~ConfigFollower() {
  this->Stop();
}

void ConfigFollower::SetReaderPredicate(ReaderPredicate predicate) {
  this->reads_log = std::move(predicate);
}

void ConfigFollower::SetOnNewRecords(std::function<void()> callback) {
  this->on_new_records = std::move(callback);
}

void ConfigFollower::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void ConfigFollower::Stop() {
  this->stopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

Status ConfigFollower::PollOnce(Duration wait) {
  // A snapshot spares a new node from evaluating the whole history.
  if (!this->snapshot_tried && this->replica->CurrentOffset() == kNoOffset) {
    BOOST_OUTCOME_TRYV(this->LoadSnapshot());
  }
  this->snapshot_tried = true;
  const LogPlace place = this->replica->CurrentPlace();
  const Result<LogBatch> batch = this->Read(place.offset + 1, wait);
  const bool answered =
      batch.has_value() || batch.error().code == ErrorCode::kExpired;
  this->platform_reachable = answered;
  this->reachable_gauge.Set(answered ? 1 : 0);
  if (batch.has_error()) {
    if (batch.error().code == ErrorCode::kExpired) {
      return this->LoadSnapshot();
    }
    return batch.error();
  }
  if (this->IsConfirmationDue(place, batch.value())) {
    return this->Confirm(place, batch.value());
  }
  this->Apply(batch.value());
  return Ok();
}

bool ConfigFollower::IsPlatformReachable() const {
  return this->platform_reachable;
}

void ConfigFollower::Run() {
  const Duration poll_wait = this->settings.log_poll_wait;
  ProgressPacer pacer(std::min(this->settings.log_retry_delay, poll_wait),
                      poll_wait);
  while (!this->stopping) {
    if (!this->reads_log()) {
      this->Pause(poll_wait);
      continue;
    }
    const MonotonicTime started_at = this->clock->Now();
    const LogPlace before = this->replica->CurrentPlace();
    const std::uint64_t reads_before = this->reads.Value();
    const Status polled = this->PollOnce(poll_wait);
    if (polled.has_error()) {
      this->read_failures.Add();
      this->ReportFailure(polled.error());
      this->Pause(this->settings.log_retry_delay);
      continue;
    }
    // The log may answer at once although it has nothing new.
    const bool advanced = this->replica->CurrentPlace().IsAbove(before);
    const Duration taken = this->clock->Now() - started_at;
    const auto reads_made =
        static_cast<std::int64_t>(this->reads.Value() - reads_before);
    Duration pause = pacer.NextPause(advanced);
    if (!advanced && reads_made > 1 && taken < poll_wait) {
      // As many reads as of a log that waits as asked.
      pause = poll_wait * reads_made;
    }
    this->Pause(pause - taken);
  }
}

void ConfigFollower::Pause(Duration duration) {
  const MonotonicTime end = this->clock->Now() + duration;
  while (!this->stopping && this->clock->Now() < end) {
    this->clock->SleepFor(
        std::min<Duration>(kPauseStep, end - this->clock->Now()));
  }
}

Result<LogBatch> ConfigFollower::Read(Offset from, Duration wait) {
  this->reads.Add();
  return this->log->Read(kConfigStream, from, kMaxRecordsPerRead, wait);
}

void ConfigFollower::Apply(const LogBatch& batch) {
  if (this->replica->ApplyRecords(batch.records)) {
    this->on_new_records();
  }
  this->ReportLag(batch.last);
}

bool ConfigFollower::IsConfirmationDue(const LogPlace& place,
                                       const LogBatch& batch) {
  if (place.offset == kNoOffset) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(this->lines_mutex);
  return !batch.records.empty() || batch.last != place.offset ||
         this->clock->Now() >= this->confirm_at;
}

Status ConfigFollower::Confirm(const LogPlace& place, const LogBatch& batch) {
  if (batch.last < place.offset) {
    this->ReportLag(batch.last);
    return this->FollowHistory(place, batch.last);
  }
  const Result<LogBatch> repeated = this->Read(place.offset, Duration::zero());
  if (repeated.has_error() && repeated.error().code == ErrorCode::kExpired) {
    // A record past retention is older than any that a copy lacks.
    this->Apply(batch);
    return Ok();
  }
  BOOST_OUTCOME_TRYV(repeated);
  {
    const std::lock_guard<std::mutex> lock(this->lines_mutex);
    this->confirm_at = this->clock->Now() + kConfirmInterval;
  }
  const std::vector<LogRecord>& records = repeated.value().records;
  if (records.empty() || records.front().offset != place.offset) {
    this->ReportLag(repeated.value().last);
    return Ok();
  }
  if (!place.Names(records.front())) {
    return this->FollowHistory(place, repeated.value().last);
  }
  this->Apply(repeated.value());
  return Ok();
}

Status ConfigFollower::FollowHistory(const LogPlace& place, Offset last) {
  {
    const std::lock_guard<std::mutex> lock(this->lines_mutex);
    if (const auto suppressed = this->lost_lines.Pass(this->clock->Now())) {
      LogWarning("config_records_lost", {{"log_last", last},
                                         {"offset", place.offset},
                                         {"suppressed", *suppressed}});
    }
  }
  if (last <= kNoOffset) {
    return Ok();
  }
  const Result<LogBatch> newest = this->Read(last, Duration::zero());
  if (newest.has_error() && newest.error().code == ErrorCode::kExpired) {
    return Ok();
  }
  BOOST_OUTCOME_TRYV(newest);
  const std::vector<LogRecord>& records = newest.value().records;
  // Nodes would go back to the copy, and peers forth, if it were followed
  // before it has a newer record.
  if (records.empty() || !LogPlace().Next(records.back()).IsAbove(place)) {
    return Ok();
  }
  return this->ReadHistory();
}

Status ConfigFollower::ReadHistory() {
  BOOST_OUTCOME_TRY(snapshot, ReadNewestConfirmedSnapshot(this->log));
  ConfigView base;
  if (snapshot.has_value()) {
    base = std::move(snapshot->view);
  }
  LogPlace end = base.CurrentPlace();
  std::vector<LogRecord> history;
  Offset last = kNoOffset;
  do {
    // Each answer repeats the last record of the one before, so that all are of
    // one history.
    const Offset from = std::max<Offset>(end.offset, 1);
    Result<LogBatch> batch = this->Read(from, Duration::zero());
    if (batch.has_error() && batch.error().code == ErrorCode::kExpired &&
        end.offset > kNoOffset && history.empty()) {
      // The snapshot's last record is past retention.
      batch = this->Read(end.offset + 1, Duration::zero());
    }
    if (batch.has_error() && batch.error().code == ErrorCode::kExpired) {
      this->gaps.Add();
    }
    BOOST_OUTCOME_TRYV(batch);
    last = batch.value().last;
    const Offset before = end.offset;
    for (const LogRecord& record : batch.value().records) {
      if (record.offset == end.offset && end.Names(record)) {
        continue;
      }
      if (record.offset != end.offset + 1) {
        return MakeError(ErrorCode::kUnavailable,
                         "the log's records do not follow each other");
      }
      history.push_back(record);
      end = end.Next(record);
    }
    if (end.offset == before && end.offset < last) {
      return MakeError(ErrorCode::kUnavailable,
                       "the log returned none of the records up to its end");
    }
  } while (end.offset < last);
  if (this->replica->AdoptHistory(std::move(base), history)) {
    this->replaced_histories.Add();
    this->on_new_records();
  }
  this->ReportLag(last);
  return Ok();
}

Status ConfigFollower::LoadSnapshot() {
  Result<std::optional<StoredSnapshot>> newest = ReadNewestSnapshot(this->log);
  if (newest.has_error()) {
    const bool answered = newest.error().code == ErrorCode::kExpired;
    this->platform_reachable = answered;
    this->reachable_gauge.Set(answered ? 1 : 0);
    return newest.error();
  }
  std::optional<StoredSnapshot>& snapshot = newest.value();
  if (snapshot.has_value() &&
      this->replica->InstallSnapshot(std::move(snapshot->view))) {
    this->on_new_records();
    return Ok();
  }
  if (!this->snapshot_tried) {
    return Ok();
  }
  this->gaps.Add();
  return MakeError(ErrorCode::kExpired,
                   "records after this node's offset are past retention and "
                   "no newer snapshot is on the log");
}

void ConfigFollower::ReportLag(Offset last) {
  const Offset behind = last - this->replica->CurrentOffset();
  this->lag.Set(static_cast<double>(behind));
  if (behind >= 0) {
    return;
  }
  const std::lock_guard<std::mutex> lock(this->lines_mutex);
  if (const auto suppressed = this->behind_lines.Pass(this->clock->Now())) {
    LogWarning("config_log_behind", {{"log_last", last},
                                     {"offset", last - behind},
                                     {"suppressed", *suppressed}});
  }
}

void ConfigFollower::ReportFailure(const Error& error) {
  const std::lock_guard<std::mutex> lock(this->lines_mutex);
  if (const auto suppressed = this->failure_lines.Pass(this->clock->Now())) {
    LogWarning("config_log_read_failed",
               {{"error", error.message}, {"suppressed", *suppressed}});
  }
}

}  // namespace kumquatcart
