#include "control/snapshot_reader.h"

#include <algorithm>
#include <limits>
#include <utility>

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
  return !than.has_value() || snapshot.view.offset >= than->view.offset;
}

}  // namespace

Result<StreamBounds> ReadBounds(LogService* log, const StreamName& stream) {
  BOOST_OUTCOME_TRY(batch, log->Read(stream, kBeyondLast, 1, Duration::zero()));
  return StreamBounds{batch.first_retained, batch.last};
}

Result<std::optional<StoredSnapshot>> ReadNewestSnapshot(LogService* log) {
  BOOST_OUTCOME_TRY(bounds, ReadBounds(log, kSnapshotStream));
  std::optional<StoredSnapshot> newest;
  if (bounds.first_retained > bounds.last) {
    return newest;
  }
  const Offset from =
      std::max(bounds.first_retained, bounds.last - kMaxSnapshotsExamined + 1);
  BOOST_OUTCOME_TRY(batch, log->Read(kSnapshotStream, from, kSnapshotsPerRead,
                                     Duration::zero()));
  for (const LogRecord& record : batch.records) {
    std::optional<StoredSnapshot> snapshot = Decode(record);
    if (snapshot.has_value() && IsNewer(*snapshot, newest)) {
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
      found = std::move(snapshot);
    }
    ++next;
  }
  return found;
}

}  // namespace kumquatcart
