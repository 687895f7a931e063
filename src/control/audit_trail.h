// Audit trail of change sets and group orders.
#ifndef CONTROL_AUDIT_TRAIL_H_
#define CONTROL_AUDIT_TRAIL_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/periodic_task.h"
#include "base/worker_pool.h"
#include "board/board.h"
#include "control/config_settings.h"
#include "model/audit_entry.h"
#include "platform/log_service.h"

namespace kumquatcart {

// Publishes audit entries on the board and appends those that are in no log
// record yet to the audit stream, in batches. When the queue is full, the
// oldest queued entries are dropped and counted. All methods are thread safe.
class AuditTrail {
 public:
  // Precondition: the arguments outlive the trail.
  AuditTrail(Clock* clock,
             WorkerPool* pool,
             Board* board,
             LogService* log,
             MetricRegistry* metrics,
             const ConfigSettings& settings);

  void Start();
  // Blocks until no append is in progress. Precondition: the pool still runs.
  void Stop();

  // Publishes an entry that is already in a log record.
  void PublishEntry(const AuditEntry& entry);

  // Publishes an entry and queues it for the audit stream.
  void Record(const AuditEntry& entry);

  // Appends one batch of queued entries to the audit stream, if there are any.
  void FlushOnce();

 private:
  // Retries reuse the append id, so that readers can drop duplicates.
  struct Batch {
    AppendId id;
    std::vector<AuditEntry> entries;
  };

  // Precondition: `mutex` is held.
  void FillBatch();

  Board* const board;
  LogService* const log;
  const std::size_t max_board_entries;
  Counter& dropped;
  Counter& appends;
  Counter& append_failures;

  // Serialises flushes; acquired before `mutex`.
  std::mutex flush_mutex;
  // Guards the fields below; leaf in the lock order.
  std::mutex mutex;
  std::deque<AuditEntry> queue;
  Batch batch;

  PeriodicTask task;
};

// Encodes entries as the payload of an audit stream record. Thread safe.
std::string EncodeAuditBatch(const std::vector<AuditEntry>& entries);

// Decodes the payload of an audit stream record. Errors: kInvalidArgument.
// Thread safe.
Result<std::vector<AuditEntry>> DecodeAuditBatch(const std::string& payload);

}  // namespace kumquatcart

#endif  // CONTROL_AUDIT_TRAIL_H_
