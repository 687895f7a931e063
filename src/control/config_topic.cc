#include "control/config_topic.h"

#include <optional>
#include <string>
#include <utility>

#include "model/config_snapshot.h"

namespace kumquatcart {

namespace {

constexpr char kOffsetField[] = "offset";
constexpr char kPlaceField[] = "place";
constexpr char kRecordsField[] = "records";
constexpr char kAfterField[] = "after";
constexpr char kPartField[] = "snapshot_part";
constexpr char kProgressField[] = "snapshot_progress";

// Reads the place of the last record that a peer evaluated. Earlier versions
// state its offset only.
Result<LogPlace> ReadPlace(const Json& digest) {
  if (!digest.is_object() || !digest.contains(kOffsetField) ||
      !digest[kOffsetField].is_number_integer()) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "config digest has no whole offset");
  }
  LogPlace place;
  place.offset = digest[kOffsetField].get<Offset>();
  if (place.offset < kNoOffset) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "config digest has a negative offset");
  }
  if (!digest.contains(kPlaceField)) {
    return place;
  }
  BOOST_OUTCOME_TRY(known, FromJson<LogPlace>(digest[kPlaceField]));
  if (known.offset != place.offset) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "config digest has a place at another offset");
  }
  return known;
}

// Reads the progress of a snapshot transfer from the digest; empty progress
// when the digest has none.
Result<SnapshotProgress> ReadProgress(const Json& digest) {
  if (!digest.contains(kProgressField)) {
    return SnapshotProgress();
  }
  return FromJson<SnapshotProgress>(digest[kProgressField]);
}

}  // namespace

ConfigTopic::ConfigTopic(ConfigReplica* replica, MetricRegistry* metrics)
    : replica(replica),
      records_received(
          metrics->GetCounter("kumquatcart_config_peer_records_total")),
      snapshots_received(
          metrics->GetCounter("kumquatcart_config_peer_snapshots_total")),
      parts_sent(metrics->GetCounter(
          "kumquatcart_config_peer_snapshot_parts_sent_total")) {}

std::string ConfigTopic::Name() const {
  return kConfigTopicName;
}

Json ConfigTopic::Digest() const {
  const LogPlace place = this->replica->CurrentPlace();
  Json digest = {{kOffsetField, place.offset}};
  if (place.IsKnown()) {
    digest[kPlaceField] = place;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  const SnapshotProgress progress = this->assembler.Progress();
  // A snapshot of a newer history may have a lower offset.
  if (progress.received > 0) {
    digest[kProgressField] = progress;
  }
  return digest;
}

Result<Json> ConfigTopic::DeltaFor(const Json& digest,
                                   std::size_t max_bytes) const {
  BOOST_OUTCOME_TRY(peer_place, ReadPlace(digest));
  BOOST_OUTCOME_TRY(progress, ReadProgress(digest));
  if (!this->replica->CurrentPlace().IsAbove(peer_place)) {
    return Json();
  }
  std::vector<LogRecord> records =
      this->replica->RecordsAfter(peer_place, max_bytes);
  if (!records.empty()) {
    return Json{{kRecordsField, std::move(records)},
                {kAfterField, std::move(peer_place)}};
  }
  this->parts_sent.Add();
  const std::lock_guard<std::mutex> lock(this->mutex);
  return Json{{kPartField, this->splitter.NextPart(this->replica->CopyView(),
                                                   progress, max_bytes)}};
}

Result<bool> ConfigTopic::Merge(const Json& delta) {
  if (delta.is_null()) {
    return false;
  }
  if (delta.is_object() && delta.contains(kRecordsField)) {
    return this->MergeRecords(delta);
  }
  if (delta.is_object() && delta.contains(kPartField)) {
    return this->MergePart(delta[kPartField]);
  }
  return MakeError(ErrorCode::kInvalidArgument,
                   "config delta has neither records nor snapshot part");
}

Result<bool> ConfigTopic::MergeRecords(const Json& delta) {
  BOOST_OUTCOME_TRY(decoded,
                    FromJson<std::vector<LogRecord>>(delta[kRecordsField]));
  this->records_received.Add(decoded.size());
  if (delta.contains(kAfterField)) {
    BOOST_OUTCOME_TRY(after, FromJson<LogPlace>(delta[kAfterField]));
    return this->replica->ApplyRecordsAfter(after, decoded);
  }
  return this->replica->ApplyRecords(decoded);
}

Result<bool> ConfigTopic::MergePart(const Json& part) {
  BOOST_OUTCOME_TRY(decoded, FromJson<SnapshotPart>(part));
  std::optional<std::string> text;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    text = this->assembler.Add(decoded);
  }
  if (!text.has_value()) {
    return false;
  }
  BOOST_OUTCOME_TRY(view, DecodeSnapshotText(*text));
  this->snapshots_received.Add();
  return this->replica->InstallSnapshot(std::move(view));
}

}  // namespace kumquatcart
