#include "control/config_follower.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/logging.h"
#include "base/progress_pacer.h"
#include "control/snapshot_reader.h"

namespace kumquatcart {

namespace {

constexpr std::size_t kMaxRecordsPerRead = 256;
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
      behind_lines(kLogInterval),
      failure_lines(kLogInterval) {
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
  this->reads.Add();
  const Offset from = this->replica->CurrentOffset() + 1;
  const Result<LogBatch> batch =
      this->log->Read(kConfigStream, from, kMaxRecordsPerRead, wait);
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
  if (this->replica->ApplyRecords(batch.value().records)) {
    this->on_new_records();
  }
  this->ReportLag(batch.value().last);
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
    const Offset before = this->replica->CurrentOffset();
    const Status polled = this->PollOnce(poll_wait);
    if (polled.has_error()) {
      this->read_failures.Add();
      this->ReportFailure(polled.error());
      this->Pause(this->settings.log_retry_delay);
      continue;
    }
    // The log may answer at once although it has nothing new.
    const bool advanced = this->replica->CurrentOffset() > before;
    const Duration taken = this->clock->Now() - started_at;
    this->Pause(pacer.NextPause(advanced) - taken);
  }
}

void ConfigFollower::Pause(Duration duration) {
  const MonotonicTime end = this->clock->Now() + duration;
  while (!this->stopping && this->clock->Now() < end) {
    this->clock->SleepFor(
        std::min<Duration>(kPauseStep, end - this->clock->Now()));
  }
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
