// Reads configuration snapshots from the log.
#ifndef CONTROL_SNAPSHOT_READER_H_
#define CONTROL_SNAPSHOT_READER_H_

#include <cstdint>
#include <optional>

#include "model/config_view.h"
#include "platform/log_service.h"

namespace kumquatcart {

// A snapshot read from the snapshot stream.
struct StoredSnapshot {
  std::int64_t time_unix_ms = 0;  // Time of the write, platform clock.
  ConfigView view;
};

// First and last offset that the platform retains of a stream. When no record
// is retained, the first is one above the last.
struct StreamBounds {
  Offset first_retained = kNoOffset;
  Offset last = kNoOffset;
};

// Errors: as LogService::Read, but never kExpired.
Result<StreamBounds> ReadBounds(LogService* log, const StreamName& stream);

// Returns the snapshot with the highest place among the newest few retained
// ones, or std::nullopt when there is none. Damaged snapshots are skipped.
// Errors: as LogService::Read.
Result<std::optional<StoredSnapshot>> ReadNewestSnapshot(LogService* log);

// The same of the snapshots whose last record the configuration stream has, so
// that none is of a history that the log lost. Snapshots of earlier versions
// name the offset of that record only. Errors: as LogService::Read.
Result<std::optional<StoredSnapshot>> ReadNewestConfirmedSnapshot(
    LogService* log);

// Returns the oldest undamaged snapshot of the log's history that the retained
// records follow without a gap, or std::nullopt when there is none. Used to
// read the history. Errors: as LogService::Read.
Result<std::optional<StoredSnapshot>> ReadOldestSnapshot(
    LogService* log,
    Offset first_retained_record);

}  // namespace kumquatcart

#endif  // CONTROL_SNAPSHOT_READER_H_
