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
// The place (LogPlace) never decreases; the offset does when the log came back
// from an older copy. All methods are thread safe.
class ConfigReplica {
 public:
  // Precondition: the pointers outlive the replica.
  ConfigReplica(Board* board,
                AuditTrail* audit,
                MetricRegistry* metrics,
                const ConfigSettings& settings);

  // Evaluates the records that follow the current offset. Records at or below
  // it are ignored; processing ends at the first gap, and at a record that this
  // node knows another record in place of. Returns true when at least one
  // record was new.
  bool ApplyRecords(const std::vector<LogRecord>& records);

  // The same for records that follow `after` in the history of a peer. Does
  // nothing when this node does not know that place.
  bool ApplyRecordsAfter(const LogPlace& after,
                         const std::vector<LogRecord>& records);

  // Replaces the view by a newer snapshot. Returns false and changes nothing
  // when the snapshot is not newer.
  bool InstallSnapshot(ConfigView snapshot);

  // Replaces the history by that of a log which came back from an older copy:
  // the records after `base`. Returns false and changes nothing when it does
  // not end above the current place. Precondition: the offsets follow each
  // other.
  bool AdoptHistory(ConfigView base, const std::vector<LogRecord>& records);

  // Returns the offset of the last record evaluated.
  Offset CurrentOffset() const;

  // Returns the place of the last record evaluated.
  LogPlace CurrentPlace() const;

  // Returns a copy of the view at CurrentOffset.
  ConfigView CopyView() const;

  // Returns raw records after `place`: at least one, and further ones while
  // their payloads fit `max_bytes`. Empty when there are none, when the tail
  // begins after the record that follows `place`, or when `place` is of another
  // history.
  std::vector<LogRecord> RecordsAfter(const LogPlace& place,
                                      std::size_t max_bytes) const;

 private:
  // A record with its place.
  struct TailEntry {
    LogRecord record;
    LogPlace place;
  };

  // Precondition of the next four: `mutex` is held.
  bool ApplyLocked(const std::vector<LogRecord>& records,
                   std::vector<AuditEntry>* entries);
  // Returns whether this node evaluated the record of `place`, as far as it
  // knows; only the offset counts where one of the records is unknown.
  bool KnowsPlace(const LogPlace& place) const;
  // Returns whether another record than `record` was evaluated at its offset.
  bool Contradicts(const LogRecord& record) const;
  void ApplyNext(const LogRecord& record, std::vector<AuditEntry>* entries);
  void Publish(const std::shared_ptr<const ConfigView>& view,
               const std::vector<AuditEntry>& entries);

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
  LogPlace tail_base;          // Of the record before the tail.
  std::deque<TailEntry> tail;  // Ends at the view's place.
};

}  // namespace kumquatcart

#endif  // CONTROL_CONFIG_REPLICA_H_
