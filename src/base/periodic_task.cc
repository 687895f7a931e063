#include "base/periodic_task.h"

#include <condition_variable>
#include <mutex>
#include <utility>

namespace kumquatcart {

// State shared with the pending timer and the run in progress, which keep it
// alive.
struct PeriodicTask::Shared : std::enable_shared_from_this<Shared> {
  void PostRun() {
    this->pool->Post([self = this->shared_from_this()] { self->Run(); });
  }

  void Run() {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (!this->started) {
        return;
      }
      this->running = true;
    }
    this->work();
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->running = false;
    if (this->started) {
      this->timer = this->clock->CallAfter(
          this->interval,
          [self = this->shared_from_this()] { self->PostRun(); });
    }
    this->ended.notify_all();
  }

  Clock* clock = nullptr;
  WorkerPool* pool = nullptr;
  Duration interval{};
  std::function<void()> work;

  // Guards the members below. Acquired before the lock of the clock.
  std::mutex mutex;
  std::condition_variable ended;
  bool started = false;
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
  {
    const std::lock_guard<std::mutex> lock(this->shared->mutex);
    if (this->shared->started) {
      return;
    }
    this->shared->started = true;
  }
  this->shared->PostRun();
}

void PeriodicTask::Stop() {
  std::unique_lock<std::mutex> lock(this->shared->mutex);
  this->shared->started = false;
  this->shared->clock->Cancel(this->shared->timer);
  this->shared->ended.wait(lock, [this] { return !this->shared->running; });
}

}  // namespace kumquatcart
