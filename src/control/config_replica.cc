#include "control/config_replica.h"

#include <algorithm>
#include <set>
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
    if (!this->ApplyLocked(records, &entries)) {
      return false;
    }
    published = std::make_shared<const ConfigView>(this->view);
  }
  this->Publish(published, entries);
  return true;
}

bool ConfigReplica::ApplyRecordsAfter(const LogPlace& after,
                                      const std::vector<LogRecord>& records) {
  std::vector<AuditEntry> entries;
  std::shared_ptr<const ConfigView> published;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->KnowsPlace(after) || !this->ApplyLocked(records, &entries)) {
      return false;
    }
    published = std::make_shared<const ConfigView>(this->view);
  }
  this->Publish(published, entries);
  return true;
}

bool ConfigReplica::InstallSnapshot(ConfigView snapshot) {
  std::shared_ptr<const ConfigView> published;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!snapshot.CurrentPlace().IsAbove(this->view.CurrentPlace())) {
      return false;
    }
    this->view = std::move(snapshot);
    this->tail.clear();
    this->tail_base = this->view.CurrentPlace();
    published = std::make_shared<const ConfigView>(this->view);
  }
  LogInfo("config_snapshot_installed", {{"offset", published->offset}});
  this->Publish(published, {});
  return true;
}

bool ConfigReplica::AdoptHistory(ConfigView base,
                                 const std::vector<LogRecord>& records) {
  LogPlace end = base.CurrentPlace();
  for (const LogRecord& record : records) {
    end = end.Next(record);
  }
  std::vector<AuditEntry> entries;
  std::shared_ptr<const ConfigView> published;
  Offset former_offset = kNoOffset;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!end.IsAbove(this->view.CurrentPlace())) {
      return false;
    }
    std::set<LogPlace> known;
    for (const TailEntry& entry : this->tail) {
      known.insert(entry.place);
    }
    former_offset = this->view.offset;
    this->view = std::move(base);
    this->tail.clear();
    this->tail_base = this->view.CurrentPlace();
    for (const LogRecord& record : records) {
      this->ApplyNext(record, &entries);
      if (known.count(this->view.place) > 0) {
        entries.pop_back();
      }
    }
    published = std::make_shared<const ConfigView>(this->view);
  }
  LogWarning("config_history_replaced",
             {{"former_offset", former_offset}, {"offset", published->offset}});
  this->Publish(published, entries);
  return true;
}

Offset ConfigReplica::CurrentOffset() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->view.offset;
}

LogPlace ConfigReplica::CurrentPlace() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->view.CurrentPlace();
}

ConfigView ConfigReplica::CopyView() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->view;
}

std::vector<LogRecord> ConfigReplica::RecordsAfter(
    const LogPlace& place,
    std::size_t max_bytes) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<LogRecord> records;
  if (this->tail.empty() || !this->KnowsPlace(place)) {
    return records;
  }
  std::size_t bytes = 0;
  for (const TailEntry& entry : this->tail) {
    if (entry.record.offset <= place.offset) {
      continue;
    }
    bytes += entry.record.payload.size();
    if (!records.empty() && bytes > max_bytes) {
      break;
    }
    records.push_back(entry.record);
  }
  return records;
}

bool ConfigReplica::ApplyLocked(const std::vector<LogRecord>& records,
                                std::vector<AuditEntry>* entries) {
  for (const LogRecord& record : records) {
    if (record.offset <= this->view.offset) {
      if (this->Contradicts(record)) {
        break;
      }
      continue;
    }
    if (record.offset != this->view.offset + 1) {
      break;
    }
    this->ApplyNext(record, entries);
  }
  return !entries->empty();
}

bool ConfigReplica::KnowsPlace(const LogPlace& place) const {
  const auto is_same = [&place](const LogPlace& own) {
    return own.offset == place.offset &&
           (!own.IsKnown() || !place.IsKnown() || own == place);
  };
  return is_same(this->tail_base) ||
         std::any_of(
             this->tail.begin(), this->tail.end(),
             [&](const TailEntry& entry) { return is_same(entry.place); });
}

bool ConfigReplica::Contradicts(const LogRecord& record) const {
  if (record.offset == this->tail_base.offset) {
    return !this->tail_base.Names(record);
  }
  return std::any_of(this->tail.begin(), this->tail.end(),
                     [&record](const TailEntry& entry) {
                       return entry.place.offset == record.offset &&
                              !entry.place.Names(record);
                     });
}

void ConfigReplica::ApplyNext(const LogRecord& record,
                              std::vector<AuditEntry>* entries) {
  JudgedRecord judged = JudgeRecord(std::move(this->view), record);
  this->view = std::move(judged.view);
  this->tail.push_back({record, this->view.place});
  if (this->tail.size() > this->tail_limit) {
    this->tail_base = this->tail.front().place;
    this->tail.pop_front();
  }
  (judged.verdict.accepted ? this->accepted : this->refused).Add();
  LogInfo("change_set_judged",
          {{"offset", record.offset},
           {"actor", judged.verdict.actor},
           {"verdict", judged.verdict.accepted ? "accepted" : "refused"}});
  entries->push_back(ToAuditEntry(judged.verdict));
}

void ConfigReplica::Publish(const std::shared_ptr<const ConfigView>& view,
                            const std::vector<AuditEntry>& entries) {
  this->offset_gauge.Set(static_cast<double>(view->offset));
  this->objects_gauge.Set(static_cast<double>(CountObjects(*view)));
  // Another thread may have published a later view in the meantime.
  this->board->config.Update([&view](const ConfigView& present) {
    return view->CurrentPlace().IsAbove(present.CurrentPlace()) ? *view
                                                                : present;
  });
  for (const AuditEntry& entry : entries) {
    this->audit->PublishEntry(entry);
  }
}

}  // namespace kumquatcart
