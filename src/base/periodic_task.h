// Periodic execution of a function on a worker pool.
#ifndef BASE_PERIODIC_TASK_H_
#define BASE_PERIODIC_TASK_H_

#include <functional>
#include <memory>

#include "base/clock.h"
#include "base/worker_pool.h"

namespace kumquatcart {

// Runs `work` on `pool` repeatedly, with a delay of `interval` between the end
// of one run and the start of the next. Runs never overlap. All methods are
// thread safe.
class PeriodicTask {
 public:
  // Precondition: `clock` and `pool` outlive the task, and Stop is called
  // before the pool stops.
  PeriodicTask(Clock* clock,
               WorkerPool* pool,
               Duration interval,
               std::function<void()> work);
  // Stops the task.
  ~PeriodicTask();
  PeriodicTask(const PeriodicTask&) = delete;
  PeriodicTask& operator=(const PeriodicTask&) = delete;

  // Starts the task; the first run is posted immediately. Idempotent.
  void Start();

  // Prevents further runs and waits until a run in progress ends. Idempotent.
  // Precondition: not called from `work`.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace kumquatcart

#endif  // BASE_PERIODIC_TASK_H_
