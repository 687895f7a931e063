// The audit trail of change sets and group orders.
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

// Shows entries on the board and writes those that no log record holds yet to
// the audit stream, many in one append. When the stream can't take them in
// time the oldest are dropped and counted. All methods are thread safe.
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
  // Returns when no append is in progress. Precondition: the pool still runs.
  void Stop();

  // Shows an entry that a log record holds already.
  void PublishEntry(const AuditEntry& entry);

  // Shows an entry and queues it for the audit stream.
  void Record(const AuditEntry& entry);

  // Writes one batch of queued entries. Does nothing when there are none.
  void FlushOnce();

 private:
  // A batch keeps its append id over retries, so that readers drop duplicates.
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

  // Serialises flushes; taken before `mutex`.
  std::mutex flush_mutex;
  // Guards the fields below; leaf in the lock order.
  std::mutex mutex;
  std::deque<AuditEntry> queue;
  Batch batch;

  PeriodicTask task;
};

// The payload of a record of the audit stream. Thread safe.
std::string EncodeAuditBatch(const std::vector<AuditEntry>& entries);

// Reads a record of the audit stream. Fails with kInvalidArgument. Thread safe.
Result<std::vector<AuditEntry>> DecodeAuditBatch(const std::string& payload);

}  // namespace kumquatcart

#endif  // CONTROL_AUDIT_TRAIL_H_
