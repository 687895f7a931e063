#include "control/snapshot_reader.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "model/config_snapshot.h"

namespace kumquatcart {

namespace {

constexpr Offset kBeyondLast = std::numeric_limits<Offset>::max() / 2;
// Number of newest snapshots examined, because the last ones may be damaged or
// have a lower configuration offset.
constexpr Offset kMaxSnapshotsExamined = 4;
constexpr std::size_t kSnapshotsPerRead = 4;

// Decodes a record. Logs a damaged one and returns std::nullopt.
std::optional<StoredSnapshot> Decode(const LogRecord& record) {
  Result<ConfigView> view = DecodeSnapshotText(record.payload);
  if (view.has_error()) {
    LogWarning("config_snapshot_damaged",
               {{"offset", record.offset}, {"error", view.error().message}});
    return std::nullopt;
  }
  return StoredSnapshot{record.time_unix_ms, std::move(view).value()};
}

bool IsNewer(const StoredSnapshot& snapshot,
             const std::optional<StoredSnapshot>& than) {
  return !than.has_value() ||
         !than->view.CurrentPlace().IsAbove(snapshot.view.CurrentPlace());
}

// Returns the newest few retained snapshots that are undamaged.
Result<std::vector<StoredSnapshot>> ReadNewestFew(LogService* log) {
  BOOST_OUTCOME_TRY(bounds, ReadBounds(log, kSnapshotStream));
  std::vector<StoredSnapshot> snapshots;
  if (bounds.first_retained > bounds.last) {
    return snapshots;
  }
  const Offset from =
      std::max(bounds.first_retained, bounds.last - kMaxSnapshotsExamined + 1);
  BOOST_OUTCOME_TRY(batch, log->Read(kSnapshotStream, from, kSnapshotsPerRead,
                                     Duration::zero()));
  for (const LogRecord& record : batch.records) {
    std::optional<StoredSnapshot> snapshot = Decode(record);
    if (snapshot.has_value()) {
      snapshots.push_back(*std::move(snapshot));
    }
  }
  return snapshots;
}

// Returns whether the configuration stream has the record of `place`, as far as
// the place names it. A record past retention is older than any that a copy of
// the log lacks.
Result<bool> HasRecordOf(LogService* log, const LogPlace& place) {
  const Result<LogBatch> batch =
      log->Read(kConfigStream, place.offset, 1, Duration::zero());
  if (batch.has_error() && batch.error().code == ErrorCode::kExpired) {
    return true;
  }
  BOOST_OUTCOME_TRYV(batch);
  const std::vector<LogRecord>& records = batch.value().records;
  return !records.empty() && place.Names(records.front());
}

}  // namespace

Result<StreamBounds> ReadBounds(LogService* log, const StreamName& stream) {
  BOOST_OUTCOME_TRY(batch, log->Read(stream, kBeyondLast, 1, Duration::zero()));
  return StreamBounds{batch.first_retained, batch.last};
}

Result<std::optional<StoredSnapshot>> ReadNewestSnapshot(LogService* log) {
  BOOST_OUTCOME_TRY(snapshots, ReadNewestFew(log));
  std::optional<StoredSnapshot> newest;
  for (StoredSnapshot& snapshot : snapshots) {
    if (IsNewer(snapshot, newest)) {
      newest = std::move(snapshot);
    }
  }
  return newest;
}

Result<std::optional<StoredSnapshot>> ReadNewestConfirmedSnapshot(
    LogService* log) {
  BOOST_OUTCOME_TRY(snapshots, ReadNewestFew(log));
  std::optional<StoredSnapshot> newest;
  for (StoredSnapshot& snapshot : snapshots) {
    if (!IsNewer(snapshot, newest)) {
      continue;
    }
    BOOST_OUTCOME_TRY(is_of_log,
                      HasRecordOf(log, snapshot.view.CurrentPlace()));
    if (is_of_log) {
      newest = std::move(snapshot);
    }
  }
  return newest;
}

Result<std::optional<StoredSnapshot>> ReadOldestSnapshot(
    LogService* log,
    Offset first_retained_record) {
  BOOST_OUTCOME_TRY(bounds, ReadBounds(log, kSnapshotStream));
  std::optional<StoredSnapshot> found;
  Offset next = bounds.first_retained;
  while (next <= bounds.last && !found.has_value()) {
    BOOST_OUTCOME_TRY(batch,
                      log->Read(kSnapshotStream, next, 1, Duration::zero()));
    if (batch.records.empty()) {
      break;
    }
    std::optional<StoredSnapshot> snapshot = Decode(batch.records.front());
    if (snapshot.has_value() &&
        snapshot->view.offset >= first_retained_record - 1) {
      BOOST_OUTCOME_TRY(is_of_log,
                        HasRecordOf(log, snapshot->view.CurrentPlace()));
      if (is_of_log) {
        found = std::move(snapshot);
      }
    }
    ++next;
  }
  return found;
}

}  // namespace kumquatcart
