// Time and timers.
//
// All code reads the time and schedules timers through a Clock, so that tests
// can pass a ManualClock and control time explicitly.
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

// Reading of a monotonic clock. Comparable only within one process.
using MonotonicTime =
    std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Calendar time, for records and logs. Never used to order events or measure
// intervals.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// Whole milliseconds in `duration`, rounded down.
std::int64_t ToMillis(Duration duration);

// Milliseconds since the Unix epoch.
std::int64_t ToUnixMillis(WallTime time);

// Identifies a timer of one Clock. Zero is not a valid timer.
using TimerId = std::uint64_t;

// Interface to time and timers. All methods are thread safe.
class Clock {
 public:
  virtual ~Clock() = default;

  virtual MonotonicTime Now() const = 0;

  virtual WallTime WallNow() const = 0;

  // Calls `callback` once, no earlier than `delay` from now, on a thread that
  // the implementation chooses. `callback` must not block for long; post
  // expensive work to a WorkerPool.
  virtual TimerId CallAfter(Duration delay, std::function<void()> callback) = 0;

  // Cancels a timer. Returns false if its callback has already started or the
  // timer does not exist.
  virtual bool Cancel(TimerId timer) = 0;

  // Blocks the calling thread until `duration` has elapsed on this clock.
  virtual void SleepFor(Duration duration) = 0;
};

namespace internal {

// Timers ordered by due time. Not thread safe; the owner must hold a lock.
class TimerTable {
 public:
  TimerId Add(MonotonicTime due, std::function<void()> callback);
  bool Remove(TimerId timer);
  bool Empty() const;
  // Precondition: the table is not empty.
  MonotonicTime NextDue() const;
  // Removes and returns the earliest callback that is due at `now`, or returns
  // an empty function if there is none.
  std::function<void()> PopDue(MonotonicTime now);

 private:
  std::map<std::pair<MonotonicTime, TimerId>, std::function<void()>> by_due;
  std::map<TimerId, MonotonicTime> due_by_id;
  TimerId last_id = 0;
};

}  // namespace internal

// Clock backed by the operating system. Timers fire on one thread owned by the
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

// Clock for tests; its time changes only when a test advances it. Timers fire
// on the thread that calls Advance or SleepFor.
class ManualClock : public Clock {
 public:
  ManualClock();

  MonotonicTime Now() const override;
  WallTime WallNow() const override;
  TimerId CallAfter(Duration delay, std::function<void()> callback) override;
  bool Cancel(TimerId timer) override;
  // Advances the clock instead of blocking.
  void SleepFor(Duration duration) override;

  // Moves time forward by `duration` and fires due timers in order, each at its
  // due time. Timers that are overdue after a Jump fire immediately.
  void Advance(Duration duration);

  // Moves time forward without firing timers, to simulate a paused process. Due
  // timers fire on the next Advance.
  void Jump(Duration duration);

 private:
  mutable std::mutex mutex;
  internal::TimerTable timers;
  MonotonicTime now;
};

}  // namespace kumquatcart

#endif  // BASE_CLOCK_H_
