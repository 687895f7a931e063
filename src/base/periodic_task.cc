#include "base/periodic_task.h"

#include <condition_variable>
#include <mutex>
#include <utility>

namespace kumquatcart {

// State shared with the pending timer and the run in progress, which keep it
// alive.
struct PeriodicTask::State : std::enable_shared_from_this<State> {
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
    this->run_ended.notify_all();
  }

  Clock* clock = nullptr;
  WorkerPool* pool = nullptr;
  Duration interval{};
  std::function<void()> work;

  // Guards the members below. Acquired before the lock of the clock.
  std::mutex mutex;
  std::condition_variable run_ended;
  bool started = false;
  bool running = false;
  TimerId timer = 0;
};

PeriodicTask::PeriodicTask(Clock* clock,
                           WorkerPool* pool,
                           Duration interval,
                           std::function<void()> work)
    : state(std::make_shared<State>()) {
  this->state->clock = clock;
  this->state->pool = pool;
  this->state->interval = interval;
  this->state->work = std::move(work);
}

PeriodicTask::~PeriodicTask() {
  this->Stop();
}

void PeriodicTask::Start() {
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    if (this->state->started) {
      return;
    }
    this->state->started = true;
  }
  this->state->PostRun();
}

void PeriodicTask::Stop() {
  std::unique_lock<std::mutex> lock(this->state->mutex);
  this->state->started = false;
  this->state->clock->Cancel(this->state->timer);
  this->state->run_ended.wait(lock, [this] { return !this->state->running; });
}

}  // namespace kumquatcart
