// This node's replica of the configuration.
#ifndef CONTROL_CONFIG_REPLICA_H_
#define CONTROL_CONFIG_REPLICA_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

#include "base/metrics.h"
#include "board/board.h"
#include "control/audit_trail.h"
#include "control/config_settings.h"
#include "model/config_judge.h"
#include "model/log_record.h"

namespace kumquatcart {

// Converts the verdict on a change set to an audit entry. Thread safe.
AuditEntry ToAuditEntry(const ConfigVerdict& verdict);

// Evaluates records from the log and from peers by the same rules, publishes
// the resulting view on the board and keeps the newest raw records for peers.
// The offset never decreases. All methods are thread safe.
class ConfigReplica {
 public:
  // Precondition: the pointers outlive the replica.
  ConfigReplica(Board* board,
                AuditTrail* audit,
                MetricRegistry* metrics,
                const ConfigSettings& settings);

  // Evaluates the records that follow the current offset. Records at or below
  // it are ignored; processing ends at the first gap. Returns true when at
  // least one record was new.
  bool ApplyRecords(const std::vector<LogRecord>& records);

  // Replaces the view by a newer snapshot. Returns false and changes nothing
  // when the snapshot is not newer.
  bool InstallSnapshot(ConfigView snapshot);

  // Returns the offset of the last record evaluated.
  Offset CurrentOffset() const;

  // Returns a copy of the view at CurrentOffset.
  ConfigView CopyView() const;

  // Returns raw records after `offset`: at least one, and further ones while
  // their payloads fit `max_bytes`. Empty when there are none, or when the tail
  // begins after the record that follows `offset`.
  std::vector<LogRecord> RecordsAfter(Offset offset,
                                      std::size_t max_bytes) const;

 private:
  // Precondition: `mutex` is held.
  void ApplyNext(const LogRecord& record, std::vector<AuditEntry>* entries);
  void Publish(const std::shared_ptr<const ConfigView>& view);

  Board* const board;
  AuditTrail* const audit;
  const std::size_t tail_limit;
  Gauge& offset_gauge;
  Gauge& objects_gauge;
  Counter& accepted;
  Counter& refused;

  // Guards the fields below; released before the board is written.
  mutable std::mutex mutex;
  ConfigView view;
  std::deque<LogRecord> tail;  // Ends at the view's offset.
};

}  // namespace kumquatcart

#endif  // CONTROL_CONFIG_REPLICA_H_
