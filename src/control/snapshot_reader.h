// Reads configuration snapshots from the log.
#ifndef CONTROL_SNAPSHOT_READER_H_
#define CONTROL_SNAPSHOT_READER_H_

#include <cstdint>
#include <optional>

#include "model/config_view.h"
#include "platform/log_service.h"

namespace kumquatcart {

// A snapshot as found on the snapshot stream.
struct StoredSnapshot {
  std::int64_t time_unix_ms = 0;  // The platform's, when it was written.
  ConfigView view;
};

// First and last offset that the platform still has of a stream; the first is
// one above the last when it has none.
struct StreamBounds {
  Offset first_retained = kNoOffset;
  Offset last = kNoOffset;
};

// Errors: as LogService::Read, but never kExpired.
Result<StreamBounds> ReadBounds(LogService* log, const StreamName& stream);

// The retained snapshot of the highest configuration offset among the newest
// few; damaged ones are skipped. Nothing when there is none. Errors: as
// LogService::Read.
Result<std::optional<StoredSnapshot>> ReadNewestSnapshot(LogService* log);

// The oldest retained snapshot that is whole and from which the retained
// records follow without a gap; for reading history. Errors: as
// LogService::Read.
Result<std::optional<StoredSnapshot>> ReadOldestSnapshot(
    LogService* log,
    Offset first_retained_record);

}  // namespace kumquatcart

#endif  // CONTROL_SNAPSHOT_READER_H_
