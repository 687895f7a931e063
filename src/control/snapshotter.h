// Writes configuration snapshots to the log.
#ifndef CONTROL_SNAPSHOTTER_H_
#define CONTROL_SNAPSHOTTER_H_

#include <mutex>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/periodic_task.h"
#include "base/worker_pool.h"
#include "board/board.h"
#include "control/config_settings.h"
#include "control/snapshot_schedule.h"
#include "platform/log_service.h"

namespace kumquatcart {

// Writes a snapshot of the current view before retention removes the records or
// the previous snapshot. All nodes together write one per interval: the node of
// rank 0 writes first, and the others read the stream before they write. A
// duplicate is harmless. All methods are thread safe.
class Snapshotter {
 public:
  // Precondition: the pointers outlive the snapshotter.
  Snapshotter(Clock* clock,
              WorkerPool* pool,
              Board* board,
              LogService* log,
              MetricRegistry* metrics,
              const ConfigSettings& settings);

  void Start();
  // Blocks until no write is in progress. Precondition: the pool still runs.
  void Stop();

  // Writes a snapshot when it is due. Returns true when one was written.
  // Errors: as LogService.
  Result<bool> RunOnce();

 private:
  bool IsDue(const ConfigView& view) const;
  Status RefreshNewest();
  Status Write(const ConfigView& view);

  Clock* const clock;
  Board* const board;
  LogService* const log;
  const ConfigSettings settings;
  Counter& written;
  Counter& failures;
  Gauge& bytes;
  Gauge& newest_offset;

  // Serialises runs and guards `newest`; acquired before the board's locks.
  std::mutex mutex;
  SnapshotInfo newest;
  LogPlace newest_place;

  PeriodicTask task;
};

}  // namespace kumquatcart

#endif  // CONTROL_SNAPSHOTTER_H_
