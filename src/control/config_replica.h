// This node's copy of the configuration.
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

// The audit entry of a judged change set. Thread safe.
AuditEntry ToAuditEntry(const ConfigVerdict& verdict);

// Judges records from the log and from peers alike, publishes the view on the
// board and keeps the newest raw records for peers. The offset only grows. All
// methods are thread safe.
class ConfigReplica {
 public:
  // Precondition: the pointers outlive the replica.
  ConfigReplica(Board* board,
                AuditTrail* audit,
                MetricRegistry* metrics,
                const ConfigSettings& settings);

  // Judges the records that follow the present offset; those at or below it
  // are ignored, and the first gap ends the batch. Returns true when at least
  // one was new.
  bool ApplyRecords(const std::vector<LogRecord>& records);

  // Takes over a snapshot that is newer than what is held; otherwise returns
  // false and changes nothing.
  bool InstallSnapshot(ConfigView snapshot);

  // Offset of the last record judged.
  Offset CurrentOffset() const;

  // The view after that record.
  ConfigView CopyView() const;

  // Raw records after `offset`, about `max_bytes` of them but at least one.
  // Empty when there are none, or when `offset` is older than the tail.
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
