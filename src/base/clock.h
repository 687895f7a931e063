// Time and timers.
//
// All code reads time and sets timers through a Clock; tests pass a
// ManualClock, which stands still until it is advanced.
#ifndef BASE_CLOCK_H_
#define BASE_CLOCK_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace kumquatcart {

using Duration = std::chrono::nanoseconds;

// Reading of a clock that never goes back; comparable only within one process.
using MonotonicTime =
    std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Calendar time, for records and logs. Never used to order events or measure
// intervals.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// Whole milliseconds in `duration`, rounded down.
std::int64_t ToMillis(Duration duration);

// Milliseconds since the Unix epoch.
std::int64_t ToUnixMillis(WallTime time);

// Names a timer set on a Clock. Zero names none.
using TimerId = std::uint64_t;

// Source of time and timers. All methods are thread safe.
class Clock {
 public:
  virtual ~Clock() = default;

  // Monotonic reading.
  virtual MonotonicTime Now() const = 0;

  // Calendar reading.
  virtual WallTime WallNow() const = 0;

  // Calls `callback` once, no earlier than `delay` from now, on a thread of the
  // clock's choosing. `callback` must not block for long; heavy work is posted
  // to a WorkerPool.
  virtual TimerId CallAfter(Duration delay, std::function<void()> callback) = 0;

  // Cancels a timer. Returns false when it has already begun or does not exist.
  virtual bool Cancel(TimerId timer) = 0;

  // Blocks the calling thread for `duration` of this clock's time.
  virtual void SleepFor(Duration duration) = 0;
};

namespace internal {

// Timers ordered by due time. Not thread safe; owners lock around it.
class TimerTable {
 public:
  TimerId Add(MonotonicTime due, std::function<void()> callback);
  bool Remove(TimerId timer);
  bool Empty() const;
  MonotonicTime NextDue() const;
  // Removes and returns the first callback due at `now`, or an empty function.
  std::function<void()> TakeDue(MonotonicTime now);

 private:
  std::map<std::pair<MonotonicTime, TimerId>, std::function<void()>> by_due;
  std::map<TimerId, MonotonicTime> due_by_id;
  TimerId last_id = 0;
};

}  // namespace internal

// The clock of the running process. Timers fire on one thread owned by the
// clock.
class RuntimeClock : public Clock {
 public:
  RuntimeClock();
  ~RuntimeClock() override;

  MonotonicTime Now() const override;
  WallTime WallNow() const override;
  TimerId CallAfter(Duration delay, std::function<void()> callback) override;
  bool Cancel(TimerId timer) override;
  void SleepFor(Duration duration) override;

 private:
  void Run();

  std::mutex mutex;
  std::condition_variable changed;
  internal::TimerTable timers;
  bool stopping = false;
  std::thread thread;
};

// A clock that stands still until a test advances it. Timers fire on the thread
// that advances.
class ManualClock : public Clock {
 public:
  ManualClock();

  MonotonicTime Now() const override;
  WallTime WallNow() const override;
  TimerId CallAfter(Duration delay, std::function<void()> callback) override;
  bool Cancel(TimerId timer) override;
  // Advances the clock instead of blocking.
  void SleepFor(Duration duration) override;

  // Moves time forward by `duration`, firing due timers in order at their due
  // time.
  void Advance(Duration duration);

  // Moves time forward without firing timers, as a paused process sees it; they
  // fire on the next Advance.
  void Jump(Duration duration);

 private:
  mutable std::mutex mutex;
  internal::TimerTable timers;
  MonotonicTime now;
};

}  // namespace kumquatcart

#endif  // BASE_CLOCK_H_
