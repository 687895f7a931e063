// Records of the platform's append-only log.
#ifndef MODEL_LOG_RECORD_H_
#define MODEL_LOG_RECORD_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "base/ids.h"

namespace kumquatcart {

// Position of a record in its stream; grows by one from record to record,
// from 1.
using Offset = std::int64_t;

// Before the first record.
constexpr Offset kNoOffset = 0;

// A record as read back.
struct LogRecord {
  Offset offset = kNoOffset;
  std::int64_t time_unix_ms = 0;  // The platform's clock when it was appended.
  AppendId append_id;   // Chosen by the writer; finds the record again.
  std::string payload;  // JSON text of the record's type.

  auto Tie() const {
    return std::tie(this->offset, this->time_unix_ms, this->append_id,
                    this->payload);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogRecord,
                                   offset,
                                   time_unix_ms,
                                   append_id,
                                   payload)

// Part of a stream.
struct LogBatch {
  Offset first_retained = kNoOffset;  // Oldest offset the platform still has.
  Offset last = kNoOffset;            // Newest offset of the stream.
  std::vector<LogRecord> records;

  auto Tie() const {
    return std::tie(this->first_retained, this->last, this->records);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogBatch, first_retained, last, records)

// Streams of the platform's log that the system uses.
inline const StreamName kConfigStream{"config"};  // Change sets.
inline const StreamName kSnapshotStream{
    "snapshots"};                                // Configuration snapshots.
inline const StreamName kLeaseStream{"leases"};  // Lease claims and renewals.
inline const StreamName kClaimStream{"claims"};  // Idempotency key claims.
inline const StreamName kAuditStream{"audit"};   // Replica group orders.

}  // namespace kumquatcart

#endif  // MODEL_LOG_RECORD_H_
