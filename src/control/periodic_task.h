// Work repeated at an interval on the worker pool.
#ifndef CONTROL_PERIODIC_TASK_H_
#define CONTROL_PERIODIC_TASK_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

#include "base/clock.h"
#include "base/worker_pool.h"

namespace kumquatcart {

// Runs a function again and again; each run starts `interval` after the
// previous one ended, so that runs never overlap. Start and Stop are thread
// safe.
class PeriodicTask {
 public:
  // Precondition: `clock` and `pool` outlive the task.
  PeriodicTask(Clock* clock,
               WorkerPool* pool,
               Duration interval,
               std::function<void()> work);
  // Stops.
  ~PeriodicTask();

  // Posts the first run. Precondition: not started before.
  void Start();

  // Cancels further runs and waits for one in progress. Idempotent. Must not be
  // called from `work`.
  void Stop();

 private:
  struct Shared;

  static void Schedule(const std::shared_ptr<Shared>& shared);
  static void RunOnce(const std::shared_ptr<Shared>& shared);

  std::shared_ptr<Shared> shared;
};

}  // namespace kumquatcart

#endif  // CONTROL_PERIODIC_TASK_H_
