#include "control/audit_trail.h"

#include <utility>

#include "base/logging.h"
#include "model/change_set.h"

namespace kumquatcart {

namespace {

constexpr std::size_t kMaxQueuedEntries = 2000;
constexpr std::size_t kMaxBatchEntries = 200;
constexpr std::size_t kMaxAuditRecordBytes = 4 << 20;

}  // namespace

AuditTrail::AuditTrail(Clock* clock,
                       WorkerPool* pool,
                       Board* board,
                       LogService* log,
                       MetricRegistry* metrics,
                       const ConfigSettings& settings)
    : board(board),
      log(log),
      max_board_entries(static_cast<std::size_t>(settings.audit_entries)),
      dropped(metrics->GetCounter("kumquatcart_audit_dropped_total")),
      appends(metrics->GetCounter("kumquatcart_audit_appends_total")),
      append_failures(
          metrics->GetCounter("kumquatcart_audit_append_failures_total")),
      task(clock, pool, settings.audit_flush_interval, [this] {
        this->FlushOnce();
      }) {}

void AuditTrail::Start() {
  this->task.Start();
}

void AuditTrail::Stop() {
  this->task.Stop();
}

void AuditTrail::PublishEntry(const AuditEntry& entry) {
  this->board->audit.Update([this, &entry](const AuditTable& table) {
    AuditTable next = table;
    next.entries.push_back(entry);
    if (next.entries.size() > this->max_board_entries) {
      next.entries.erase(next.entries.begin());
    }
    return next;
  });
}

void AuditTrail::Record(const AuditEntry& entry) {
  this->PublishEntry(entry);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->queue.push_back(entry);
  if (this->queue.size() > kMaxQueuedEntries) {
    this->queue.pop_front();
    this->dropped.Add();
  }
}

void AuditTrail::FlushOnce() {
  const std::lock_guard<std::mutex> flush_lock(this->flush_mutex);
  Batch pending;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->FillBatch();
    pending = this->batch;
  }
  if (pending.entries.empty()) {
    return;
  }
  const Result<Offset> appended = this->log->Append(
      kAuditStream, pending.id, EncodeAuditBatch(pending.entries));
  if (appended.has_error()) {
    this->append_failures.Add();
    LogDebug("audit_append_failed", {{"error", appended.error().message}});
    return;
  }
  this->appends.Add();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->batch = Batch();
}

void AuditTrail::FillBatch() {
  if (!this->batch.entries.empty()) {
    return;
  }
  this->batch.id = MakeId<AppendId>();
  while (!this->queue.empty() &&
         this->batch.entries.size() < kMaxBatchEntries) {
    this->batch.entries.push_back(std::move(this->queue.front()));
    this->queue.pop_front();
  }
}

std::string EncodeAuditBatch(const std::vector<AuditEntry>& entries) {
  return Json(entries).dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<std::vector<AuditEntry>> DecodeAuditBatch(const std::string& payload) {
  BOOST_OUTCOME_TRY(json, ParseBoundedJson(payload, kMaxAuditRecordBytes));
  return FromJson<std::vector<AuditEntry>>(json);
}

}  // namespace kumquatcart
