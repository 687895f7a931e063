#include "control/config_topic.h"

#include <utility>

#include "model/config_snapshot.h"

namespace kumquatcart {

namespace {

constexpr char kOffsetField[] = "offset";
constexpr char kRecordsField[] = "records";
constexpr char kSnapshotField[] = "snapshot";

}  // namespace

ConfigTopic::ConfigTopic(ConfigReplica* replica, MetricRegistry* metrics)
    : replica(replica),
      records_received(
          metrics->GetCounter("kumquatcart_config_peer_records_total")),
      snapshots_received(
          metrics->GetCounter("kumquatcart_config_peer_snapshots_total")),
      snapshots_sent(
          metrics->GetCounter("kumquatcart_config_peer_snapshots_sent_total")) {
}

std::string ConfigTopic::Name() const {
  return kConfigTopicName;
}

Json ConfigTopic::Digest() const {
  return {{kOffsetField, this->replica->CurrentOffset()}};
}

Result<Json> ConfigTopic::DeltaFor(const Json& digest,
                                   std::size_t max_bytes) const {
  if (!digest.is_object() || !digest.contains(kOffsetField) ||
      !digest[kOffsetField].is_number_integer()) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "config digest has no whole offset");
  }
  const Offset theirs = digest[kOffsetField].get<Offset>();
  if (theirs < kNoOffset) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "config digest has a negative offset");
  }
  if (theirs >= this->replica->CurrentOffset()) {
    return Json();
  }
  std::vector<LogRecord> records =
      this->replica->RecordsAfter(theirs, max_bytes);
  if (!records.empty()) {
    return Json{{kRecordsField, std::move(records)}};
  }
  this->snapshots_sent.Add();
  return Json{{kSnapshotField, EncodeSnapshot(this->replica->CopyView())}};
}

Result<bool> ConfigTopic::Merge(const Json& delta) {
  if (delta.is_null()) {
    return false;
  }
  if (delta.is_object() && delta.contains(kRecordsField)) {
    return this->MergeRecords(delta[kRecordsField]);
  }
  if (delta.is_object() && delta.contains(kSnapshotField)) {
    return this->MergeSnapshot(delta[kSnapshotField]);
  }
  return MakeError(ErrorCode::kInvalidArgument,
                   "config delta has neither records nor snapshot");
}

Result<bool> ConfigTopic::MergeRecords(const Json& records) {
  BOOST_OUTCOME_TRY(decoded, FromJson<std::vector<LogRecord>>(records));
  this->records_received.Add(decoded.size());
  return this->replica->ApplyRecords(decoded);
}

Result<bool> ConfigTopic::MergeSnapshot(const Json& snapshot) {
  BOOST_OUTCOME_TRY(view, DecodeSnapshot(snapshot));
  this->snapshots_received.Add();
  return this->replica->InstallSnapshot(std::move(view));
}

}  // namespace kumquatcart
