// Measures what holds up an event loop, and counts failures on it.
#ifndef NET_LOOP_MONITOR_H_
#define NET_LOOP_MONITOR_H_

#include <string>

#include "base/clock.h"
#include "base/metrics.h"

namespace kumquatcart {

// Logs `event_loop_held_up` when a timer fires late or a step runs long, at
// most once a second, with the longest step since the last such line. A late
// timer without a long step means that the whole process stood still, or that
// a part of it runs long that is not measured as a step. Must be used on the
// event loop's thread.
class LoopMonitor {
 public:
  // Records all further measurements in `metrics` too. Precondition: `metrics`
  // stays valid while the loop runs.
  void SetMetrics(MetricRegistry* metrics) { this->metrics = metrics; }

  // Records that a timer fired `lateness` after its expiry.
  void NoteLateness(Duration lateness, MonotonicTime now);

  // Records that a step ran for `duration` without a return to the loop.
  // Precondition: `name` and `subject` stay valid for ever.
  void NoteStep(const char* name,
                const char* subject,
                Duration duration,
                MonotonicTime now);

  // Logs that handling `exchange`, such as "request", failed because of
  // `cause`, and counts it. Lines are limited to one per second for each
  // process; the next one states the number of those left out.
  void NoteFailure(const char* exchange,
                   const std::string& cause,
                   MonotonicTime now);

 private:
  struct LongestStep {
    const char* name = "";
    const char* subject = "";
    Duration duration{0};
  };

  void Report(Duration lateness, MonotonicTime now);

  MetricRegistry* metrics = nullptr;
  LongestStep longest_step;
  MonotonicTime last_report;
  int unreported = 0;  // Delays since the last line.
  MonotonicTime last_failure_report;
  int unreported_failures = 0;
};

// Measures the enclosing block as a step. Precondition: the block does not
// suspend its coroutine.
class LoopStep {
 public:
  explicit LoopStep(LoopMonitor* monitor,
                    const char* name,
                    const char* subject = "")
      : monitor(monitor),
        name(name),
        subject(subject),
        started(std::chrono::steady_clock::now()) {}
  ~LoopStep() {
    const MonotonicTime now = std::chrono::steady_clock::now();
    this->monitor->NoteStep(this->name, this->subject, now - this->started,
                            now);
  }
  LoopStep(const LoopStep&) = delete;
  LoopStep& operator=(const LoopStep&) = delete;

 private:
  LoopMonitor* const monitor;
  const char* const name;
  const char* const subject;
  const MonotonicTime started;
};

}  // namespace kumquatcart

#endif  // NET_LOOP_MONITOR_H_
