#include "control/config_replica.h"

#include <utility>

#include "base/logging.h"
#include "model/config_access.h"

namespace kumquatcart {

namespace {

constexpr std::size_t kMaxAuditDetailBytes = 4096;

std::string SubjectOf(const ConfigVerdict& verdict) {
  std::string subject;
  for (const ObjectDifference& difference : verdict.diff) {
    subject += (subject.empty() ? "" : ", ") + difference.object;
  }
  return subject;
}

std::string Truncated(std::string text) {
  if (text.size() > kMaxAuditDetailBytes) {
    text.resize(kMaxAuditDetailBytes);
    text += "...";
  }
  return text;
}

}  // namespace

AuditEntry ToAuditEntry(const ConfigVerdict& verdict) {
  AuditEntry entry;
  entry.time_unix_ms = verdict.time_unix_ms;
  entry.stream = kConfigStream;
  entry.offset = verdict.offset;
  entry.actor = verdict.actor + "@" + verdict.partner.value;
  entry.action = "change-set";
  entry.subject = Truncated(SubjectOf(verdict));
  entry.verdict = verdict.accepted ? "accepted" : "refused";
  entry.detail = Truncated(verdict.accepted ? ToString(verdict.diff)
                                            : ToString(verdict.violations));
  return entry;
}

ConfigReplica::ConfigReplica(Board* board,
                             AuditTrail* audit,
                             MetricRegistry* metrics,
                             const ConfigSettings& settings)
    : board(board),
      audit(audit),
      tail_limit(static_cast<std::size_t>(settings.tail_records)),
      offset_gauge(metrics->GetGauge("kumquatcart_config_offset")),
      objects_gauge(metrics->GetGauge("kumquatcart_config_objects")),
      accepted(metrics->GetCounter("kumquatcart_config_change_sets_total",
                                   {{"verdict", "accepted"}})),
      refused(metrics->GetCounter("kumquatcart_config_change_sets_total",
                                  {{"verdict", "refused"}})) {}

bool ConfigReplica::ApplyRecords(const std::vector<LogRecord>& records) {
  std::vector<AuditEntry> entries;
  std::shared_ptr<const ConfigView> published;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const LogRecord& record : records) {
      if (record.offset <= this->view.offset) {
        continue;
      }
      if (record.offset != this->view.offset + 1) {
        break;
      }
      this->ApplyNext(record, &entries);
    }
    if (entries.empty()) {
      return false;
    }
    published = std::make_shared<const ConfigView>(this->view);
  }
  this->Publish(published);
  for (const AuditEntry& entry : entries) {
    this->audit->PublishEntry(entry);
  }
  return true;
}

bool ConfigReplica::InstallSnapshot(ConfigView snapshot) {
  std::shared_ptr<const ConfigView> published;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (snapshot.offset <= this->view.offset) {
      return false;
    }
    this->view = std::move(snapshot);
    this->tail.clear();
    published = std::make_shared<const ConfigView>(this->view);
  }
  LogInfo("config_snapshot_installed", {{"offset", published->offset}});
  this->Publish(published);
  return true;
}

Offset ConfigReplica::CurrentOffset() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->view.offset;
}

ConfigView ConfigReplica::CopyView() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->view;
}

std::vector<LogRecord> ConfigReplica::RecordsAfter(
    Offset offset,
    std::size_t max_bytes) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<LogRecord> records;
  if (this->tail.empty() || this->tail.front().offset > offset + 1) {
    return records;
  }
  std::size_t bytes = 0;
  for (const LogRecord& record : this->tail) {
    if (record.offset <= offset) {
      continue;
    }
    bytes += record.payload.size();
    if (!records.empty() && bytes > max_bytes) {
      break;
    }
    records.push_back(record);
  }
  return records;
}

void ConfigReplica::ApplyNext(const LogRecord& record,
                              std::vector<AuditEntry>* entries) {
  JudgedRecord judged = JudgeRecord(std::move(this->view), record);
  this->view = std::move(judged.view);
  this->tail.push_back(record);
  if (this->tail.size() > this->tail_limit) {
    this->tail.pop_front();
  }
  (judged.verdict.accepted ? this->accepted : this->refused).Add();
  LogInfo("change_set_judged",
          {{"offset", record.offset},
           {"actor", judged.verdict.actor},
           {"verdict", judged.verdict.accepted ? "accepted" : "refused"}});
  entries->push_back(ToAuditEntry(judged.verdict));
}

void ConfigReplica::Publish(const std::shared_ptr<const ConfigView>& view) {
  this->offset_gauge.Set(static_cast<double>(view->offset));
  this->objects_gauge.Set(static_cast<double>(CountObjects(*view)));
  // Another thread may have published a later view in the meantime.
  this->board->config.Update([&view](const ConfigView& present) {
    return present.offset < view->offset ? *view : present;
  });
}

}  // namespace kumquatcart
