#include "control/snapshotter.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/logging.h"
#include "control/snapshot_reader.h"
#include "model/config_snapshot.h"

namespace kumquatcart {

namespace {

constexpr Duration kCheckInterval = std::chrono::seconds(5);

}  // namespace

Snapshotter::Snapshotter(Clock* clock,
                         WorkerPool* pool,
                         Board* board,
                         LogService* log,
                         MetricRegistry* metrics,
                         const ConfigSettings& settings)
    : clock(clock),
      board(board),
      log(log),
      settings(settings),
      written(metrics->GetCounter("kumquatcart_config_snapshots_total")),
      failures(
          metrics->GetCounter("kumquatcart_config_snapshot_failures_total")),
      bytes(metrics->GetGauge("kumquatcart_config_snapshot_bytes")),
      newest_offset(metrics->GetGauge("kumquatcart_config_snapshot_offset")),
      task(clock, pool, kCheckInterval, [this] {
        const Result<bool> result = this->RunOnce();
        if (result.has_error()) {
          LogWarning("config_snapshot_failed",
                     {{"error", result.error().message}});
        }
      }) {}

void Snapshotter::Start() {
  this->task.Start();
}

void Snapshotter::Stop() {
  this->task.Stop();
}

Result<bool> Snapshotter::RunOnce() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::shared_ptr<const ConfigView> view = this->board->config.Read();
  if (!this->IsDue(*view)) {
    return false;
  }
  // Another node may have written one since the last read of the stream.
  BOOST_OUTCOME_TRYV(this->RefreshNewest());
  if (!this->IsDue(*view)) {
    return false;
  }
  const Status status = this->Write(*view);
  if (status.has_error()) {
    this->failures.Add();
    return status.error();
  }
  return true;
}

bool Snapshotter::IsDue(const ConfigView& view) const {
  SnapshotInfo newest = this->newest;
  if (newest.config_offset > view.offset &&
      view.CurrentPlace().IsAbove(this->newest_place)) {
    // It is of a history that the log lost.
    newest.config_offset = kNoOffset;
  }
  const std::size_t rank = SnapshotRank(*this->board->members.Read(),
                                        this->board->identity.id, newest);
  return IsSnapshotDue(newest, view.offset, rank, this->clock->WallNow(),
                       this->settings);
}

Status Snapshotter::RefreshNewest() {
  BOOST_OUTCOME_TRY(stored, ReadNewestSnapshot(this->log));
  if (stored.has_value()) {
    this->newest = {stored->view.offset, stored->time_unix_ms};
    this->newest_place = stored->view.CurrentPlace();
    this->newest_offset.Set(static_cast<double>(stored->view.offset));
    return Ok();
  }
  const bool already_missing =
      this->newest.config_offset == kNoOffset && this->newest.time_unix_ms > 0;
  if (!already_missing) {
    const WallTime mark =
        this->clock->WallNow() - this->settings.snapshot_interval;
    this->newest = {kNoOffset, ToUnixMillis(mark)};
  }
  return Ok();
}

Status Snapshotter::Write(const ConfigView& view) {
  const std::string payload =
      EncodeSnapshot(view).dump(-1, ' ', false, Json::error_handler_t::replace);
  BOOST_OUTCOME_TRY(
      offset, this->log->Append(kSnapshotStream, MakeId<AppendId>(), payload));
  this->newest = {view.offset, ToUnixMillis(this->clock->WallNow())};
  this->newest_place = view.CurrentPlace();
  this->newest_offset.Set(static_cast<double>(view.offset));
  this->written.Add();
  this->bytes.Set(static_cast<double>(payload.size()));
  LogInfo("config_snapshot_written", {{"config_offset", view.offset},
                                      {"offset", offset},
                                      {"bytes", payload.size()}});
  return Ok();
}

}  // namespace kumquatcart
