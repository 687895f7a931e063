#include "base/clock.h"

#include <algorithm>

namespace kumquatcart {

std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

std::int64_t ToUnixMillis(WallTime time) {
  return ToMillis(time.time_since_epoch());
}

namespace internal {

TimerId TimerTable::Add(MonotonicTime due, std::function<void()> callback) {
  const TimerId id = ++this->last_id;
  this->by_due.emplace(std::make_pair(due, id), std::move(callback));
  this->due_by_id.emplace(id, due);
  return id;
}

bool TimerTable::Remove(TimerId timer) {
  const auto found = this->due_by_id.find(timer);
  if (found == this->due_by_id.end()) {
    return false;
  }
  this->by_due.erase(std::make_pair(found->second, timer));
  this->due_by_id.erase(found);
  return true;
}

bool TimerTable::Empty() const {
  return this->by_due.empty();
}

MonotonicTime TimerTable::NextDue() const {
  return this->by_due.begin()->first.first;
}

std::function<void()> TimerTable::PopDue(MonotonicTime now) {
  if (this->by_due.empty() || this->by_due.begin()->first.first > now) {
    return {};
  }
  const auto first = this->by_due.begin();
  std::function<void()> callback = std::move(first->second);
  this->due_by_id.erase(first->first.second);
  this->by_due.erase(first);
  return callback;
}

}  // namespace internal

RuntimeClock::RuntimeClock() : thread([this] { this->Run(); }) {}

RuntimeClock::~RuntimeClock() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  this->thread.join();
}

MonotonicTime RuntimeClock::Now() const {
  return std::chrono::steady_clock::now();
}

WallTime RuntimeClock::WallNow() const {
  return std::chrono::system_clock::now();
}

TimerId RuntimeClock::CallAfter(Duration delay,
                                std::function<void()> callback) {
  TimerId id = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    id = this->timers.Add(this->Now() + delay, std::move(callback));
  }
  this->changed.notify_all();
  return id;
}

bool RuntimeClock::Cancel(TimerId timer) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->timers.Remove(timer);
}

void RuntimeClock::SleepFor(Duration duration) {
  std::this_thread::sleep_for(duration);
}

void RuntimeClock::Run() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    if (this->timers.Empty()) {
      this->changed.wait(lock);
      continue;
    }
    std::function<void()> callback = this->timers.PopDue(this->Now());
    if (!callback) {
      this->changed.wait_until(lock, this->timers.NextDue());
      continue;
    }
    lock.unlock();
    callback();
    lock.lock();
  }
}

ManualClock::ManualClock() : now(std::chrono::hours(1)) {}

MonotonicTime ManualClock::Now() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->now;
}

WallTime ManualClock::WallNow() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return WallTime(this->now.time_since_epoch());
}

TimerId ManualClock::CallAfter(Duration delay, std::function<void()> callback) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->timers.Add(this->now + delay, std::move(callback));
}

bool ManualClock::Cancel(TimerId timer) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->timers.Remove(timer);
}

void ManualClock::SleepFor(Duration duration) {
  this->Advance(duration);
}

void ManualClock::Advance(Duration duration) {
  std::unique_lock<std::mutex> lock(this->mutex);
  const MonotonicTime target = this->now + duration;
  while (!this->timers.Empty() && this->timers.NextDue() <= target) {
    this->now = std::max(this->now, this->timers.NextDue());
    std::function<void()> callback = this->timers.PopDue(this->now);
    lock.unlock();
    callback();
    lock.lock();
  }
  this->now = std::max(this->now, target);
}

void ManualClock::Jump(Duration duration) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->now += duration;
}

}  // namespace kumquatcart
