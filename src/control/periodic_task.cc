#include "control/periodic_task.h"

#include <utility>

#include "base/scope_guard.h"

namespace kumquatcart {

// Outlives the task while a timer or posted run still refers to it.
struct PeriodicTask::Shared {
  Clock* clock;
  WorkerPool* pool;
  Duration interval;
  std::function<void()> work;

  std::mutex mutex;  // Guards the fields below; leaf in the lock order.
  std::condition_variable changed;
  bool stopping = false;
  bool running = false;
  TimerId timer = 0;
};

PeriodicTask::PeriodicTask(Clock* clock,
                           WorkerPool* pool,
                           Duration interval,
                           std::function<void()> work)
    : shared(std::make_shared<Shared>()) {
  this->shared->clock = clock;
  this->shared->pool = pool;
  this->shared->interval = interval;
  this->shared->work = std::move(work);
}

PeriodicTask::~PeriodicTask() {
  this->Stop();
}

void PeriodicTask::Start() {
  this->shared->pool->Post([shared = this->shared] { RunOnce(shared); });
}

void PeriodicTask::Stop() {
  std::unique_lock<std::mutex> lock(this->shared->mutex);
  this->shared->stopping = true;
  this->shared->clock->Cancel(this->shared->timer);
  this->shared->changed.wait(lock, [this] { return !this->shared->running; });
}

void PeriodicTask::Schedule(const std::shared_ptr<Shared>& shared) {
  const std::lock_guard<std::mutex> lock(shared->mutex);
  shared->running = false;
  shared->changed.notify_all();
  if (shared->stopping) {
    return;
  }
  shared->timer = shared->clock->CallAfter(shared->interval, [shared] {
    shared->pool->Post([shared] { RunOnce(shared); });
  });
}

void PeriodicTask::RunOnce(const std::shared_ptr<Shared>& shared) {
  {
    const std::lock_guard<std::mutex> lock(shared->mutex);
    if (shared->stopping) {
      return;
    }
    shared->running = true;
  }
  const ScopeGuard schedule([&] { Schedule(shared); });
  shared->work();
}

}  // namespace kumquatcart
