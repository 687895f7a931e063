#include "peers/report_topic.h"

#include <utility>

namespace kumquatcart {

namespace {

// Limit on tombstones per report; beyond it all of them are discarded.
constexpr std::size_t kMaxTombstones = 256;

using Versions = std::map<std::string, std::uint64_t>;

// Decoded changes of one report.
struct ReportDelta {
  NodeId reporter;
  std::uint64_t since = 0;  // Minimum version at the receiver.
  std::uint64_t version = 0;
  std::map<std::string, std::pair<std::uint64_t, Json>> entries;
};

// Throws Json::exception on wrong types.
ReportDelta ReadDelta(const Json& json) {
  ReportDelta delta;
  delta.reporter = NodeId(json.at(0).get<std::string>());
  delta.since = json.at(1).get<std::uint64_t>();
  delta.version = json.at(2).get<std::uint64_t>();
  for (const Json& entry : json.at(3)) {
    delta.entries[entry.at(0).get<std::string>()] = {
        entry.at(1).get<std::uint64_t>(), entry.at(2)};
  }
  return delta;
}

Result<std::vector<ReportDelta>> ReadDeltas(const Json& json) {
  try {
    std::vector<ReportDelta> deltas;
    for (const Json& delta : json) {
      deltas.push_back(ReadDelta(delta));
    }
    return deltas;
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument, error.what());
  }
}

}  // namespace

ReportTopic::ReportTopic(std::string name, TopicScope scope, NodeId self)
    : name(std::move(name)), scope(scope), self(std::move(self)) {}

bool ReportTopic::SetOwnReport(const ReportEntries& entries) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto known = this->reports.find(this->self);
  if (known == this->reports.end() && entries.empty()) {
    return false;
  }
  Report& report = this->reports[this->self];
  const std::uint64_t next = report.version + 1;
  bool changed = false;
  for (const auto& [key, value] : entries) {
    Entry& entry = report.entries[key];
    if (entry.version == 0 || entry.value != value) {
      entry = {value, next};
      changed = true;
    }
  }
  for (auto& [key, entry] : report.entries) {
    if (entries.count(key) == 0 && !entry.value.is_null()) {
      entry = {Json(), next};
      changed = true;
    }
  }
  report.version = changed ? next : report.version;
  PruneTombstones(&report);
  return changed;
}

void ReportTopic::PruneTombstones(Report* report) {
  std::size_t tombstones = 0;
  for (const auto& [key, entry] : report->entries) {
    tombstones += entry.value.is_null() ? 1 : 0;
  }
  if (tombstones <= kMaxTombstones) {
    return;
  }
  for (auto entry = report->entries.begin(); entry != report->entries.end();) {
    const bool removed = entry->second.value.is_null();
    entry = removed ? report->entries.erase(entry) : std::next(entry);
  }
  report->pruned_version = report->version;
}

std::map<NodeId, ReportEntries> ReportTopic::Reports() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::map<NodeId, ReportEntries> result;
  for (const auto& [reporter, report] : this->reports) {
    ReportEntries& entries = result[reporter];
    for (const auto& [key, entry] : report.entries) {
      if (!entry.value.is_null()) {
        entries[key] = entry.value;
      }
    }
  }
  return result;
}

void ReportTopic::RetainReporters(const std::set<NodeId>& reporters) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto report = this->reports.begin(); report != this->reports.end();) {
    const bool kept =
        report->first == this->self || reporters.count(report->first) > 0;
    report = kept ? std::next(report) : this->reports.erase(report);
  }
}

Json ReportTopic::Digest() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Json digest = Json::object();
  for (const auto& [reporter, report] : this->reports) {
    digest[reporter.value] = report.version;
  }
  return digest;
}

Json ReportTopic::ChangesSince(const Report& report, std::uint64_t version) {
  Json changes = Json::array();
  for (const auto& [key, entry] : report.entries) {
    const bool omitted = version == 0 && entry.value.is_null();
    if (entry.version > version && !omitted) {
      changes.push_back({key, entry.version, entry.value});
    }
  }
  return changes;
}

Result<Json> ReportTopic::DeltaFor(const Json& digest,
                                   std::size_t max_bytes) const {
  BOOST_OUTCOME_TRY(theirs, FromJson<Versions>(digest));
  const std::lock_guard<std::mutex> lock(this->mutex);
  Json delta = Json::array();
  std::size_t bytes = 0;
  for (const auto& [reporter, report] : this->reports) {
    const auto known = theirs.find(reporter.value);
    std::uint64_t since = known == theirs.end() ? 0 : known->second;
    if (report.version <= since) {
      continue;
    }
    since = since < report.pruned_version ? 0 : since;
    Json part = {reporter.value, since, report.version,
                 ChangesSince(report, since)};
    bytes += Json::to_cbor(part).size();
    // The changes of a report are never split, and the first report is included
    // whatever its size.
    if (bytes > max_bytes && !delta.empty()) {
      break;
    }
    delta.push_back(std::move(part));
  }
  return delta.empty() ? Json() : delta;
}

Result<bool> ReportTopic::Merge(const Json& delta) {
  BOOST_OUTCOME_TRY(deltas, ReadDeltas(delta));
  const std::lock_guard<std::mutex> lock(this->mutex);
  bool changed = false;
  for (ReportDelta& part : deltas) {
    const auto known = this->reports.find(part.reporter);
    const std::uint64_t version =
        known == this->reports.end() ? 0 : known->second.version;
    const bool applies = part.since <= version && part.version > version &&
                         part.reporter != this->self;
    if (!applies) {
      continue;
    }
    Report& report = this->reports[part.reporter];
    report.version = part.version;
    if (part.since == 0) {
      // A full report has no tombstones, so it replaces the local copy.
      report.entries.clear();
      report.pruned_version = part.version;
    }
    for (auto& [key, value] : part.entries) {
      Entry& entry = report.entries[key];
      if (value.first > entry.version) {
        entry = {std::move(value.second), value.first};
      }
    }
    changed = true;
  }
  return changed;
}

}  // namespace kumquatcart
