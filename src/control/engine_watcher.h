// Polls the backend servers that this node watches.
#ifndef CONTROL_ENGINE_WATCHER_H_
#define CONTROL_ENGINE_WATCHER_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/periodic_task.h"
#include "base/worker_pool.h"
#include "board/board.h"
#include "control/watch_settings.h"
#include "platform/engine_control.h"

namespace kumquatcart {

// Fetches the status of each watched engine and probes each watched plain
// service, in parallel; a VM that does not answer does not delay others. All
// methods are thread safe.
class EngineWatcher {
 public:
  // Returns true for VMs that this node watches.
  using Selector = std::function<bool(const Vm& vm)>;

  // Precondition: the arguments outlive the watcher.
  EngineWatcher(Clock* clock,
                WorkerPool* pool,
                Board* board,
                EngineControl* engine_control,
                MetricRegistry* metrics,
                const WatchSettings& settings);

  // Restricts the watched VMs further. Precondition: not started.
  void SetSelector(Selector selector);

  void Start();
  // Waits for polls in progress. Precondition: the pool is running.
  void Stop();

  // Polls every VM that is due and waits for the answers.
  void PollOnce();

 private:
  using Job = std::function<void()>;

  // Removes observations of VMs no longer watched and returns a poll for each
  // VM that is due.
  std::vector<Job> TakeDuePolls();
  bool IsWatched(const Vm& vm) const;
  // Precondition: `mutex` is held.
  bool IsDue(const VmId& vm) const;
  void Poll(const Vm& vm);
  Result<EngineStatus> RequestStatus(const Vm& vm);
  // Stores an answer. Returns true if more than the load has changed.
  bool Store(const Vm& vm, const Result<EngineStatus>& answer);
  void PublishObservations();

  Clock* clock;
  WorkerPool* pool;
  Board* board;
  EngineControl* engine_control;
  const WatchSettings settings;
  Selector selector;
  Counter* polls;
  Counter* failures;
  LatencyHistogram* latency;

  // Guards the fields below; leaf in the lock order.
  std::mutex mutex;
  std::condition_variable idle;
  std::map<VmId, EngineObservation> observations;
  std::set<VmId> in_flight;
  std::uint64_t round = 0;

  // Serialises publications, so that an older copy never replaces a newer one;
  // acquired before `mutex` and the board's locks.
  std::mutex publish_mutex;

  PeriodicTask task;
};

}  // namespace kumquatcart

#endif  // CONTROL_ENGINE_WATCHER_H_
