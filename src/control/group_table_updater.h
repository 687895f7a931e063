// Updates the table of replica groups on the board.
#ifndef CONTROL_GROUP_TABLE_UPDATER_H_
#define CONTROL_GROUP_TABLE_UPDATER_H_

#include <functional>
#include <mutex>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/pause_detector.h"
#include "base/periodic_task.h"
#include "base/worker_pool.h"
#include "board/board.h"
#include "control/watch_settings.h"

namespace kumquatcart {

// Derives the groups of the watched VMs from observations and adds the groups
// that peers in other failure domains report. A group is closed at most
// `lost_after` + `group_interval` after the last status of a VM. All methods
// are thread safe.
class GroupTableUpdater {
 public:
  // Returns the groups that peers report.
  using RemoteGroups = std::function<GroupTable()>;

  // Precondition: the pointers outlive the updater.
  GroupTableUpdater(Clock* clock,
                    WorkerPool* pool,
                    Board* board,
                    MetricRegistry* metrics,
                    const WatchSettings& settings);

  // Adds the groups of other failure domains. Precondition: not started.
  void SetRemoteGroups(RemoteGroups remote_groups);

  void Start() { this->task.Start(); }
  // Precondition: the pool is running.
  void Stop() { this->task.Stop(); }

  // Derives and publishes the groups once.
  void Refresh();

 private:
  void CountStates(const GroupTable& table);

  Clock* clock;
  Board* board;
  MetricRegistry* metrics;
  const WatchSettings settings;
  RemoteGroups remote_groups;

  // Guards `pauses` and publication; acquired before the board's locks.
  std::mutex mutex;
  PauseDetector pauses;

  PeriodicTask task;
};

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_TABLE_UPDATER_H_
