#include "net/loop_monitor.h"

#include <algorithm>

#include "base/logging.h"

namespace kumquatcart {

namespace {

// Delays from here on are logged. Callers notice them, and peers' requests time
// out after a few of them.
constexpr Duration kReportedDelay = std::chrono::milliseconds(100);
constexpr Duration kReportInterval = std::chrono::seconds(1);

}  // namespace

void LoopMonitor::NoteLateness(Duration lateness, MonotonicTime now) {
  if (this->metrics != nullptr) {
    this->metrics->GetHistogram("kumquatcart_event_loop_lateness_seconds")
        .Record(std::max(lateness, Duration{0}));
  }
  if (lateness >= kReportedDelay) {
    this->Report(lateness, now);
  }
}

void LoopMonitor::NoteStep(const char* name,
                           const char* subject,
                           Duration duration,
                           MonotonicTime now) {
  if (this->metrics != nullptr) {
    this->metrics
        ->GetHistogram("kumquatcart_event_loop_step_seconds", {{"step", name}})
        .Record(duration);
  }
  if (duration > this->longest_step.duration) {
    this->longest_step = {name, subject, duration};
  }
  if (duration >= kReportedDelay) {
    this->Report(Duration{0}, now);
  }
}

void LoopMonitor::NoteFailure(const char* exchange,
                              const std::string& cause,
                              MonotonicTime now) {
  if (this->metrics != nullptr) {
    this->metrics
        ->GetCounter("kumquatcart_failed_exchanges_total",
                     {{"exchange", exchange}})
        .Add();
  }
  if (this->last_failure_report != MonotonicTime{} &&
      now - this->last_failure_report < kReportInterval) {
    ++this->unreported_failures;
    return;
  }
  LogError("exchange_failed", {{"exchange", exchange},
                               {"cause", cause},
                               {"unreported", this->unreported_failures}});
  this->last_failure_report = now;
  this->unreported_failures = 0;
}

void LoopMonitor::Report(Duration lateness, MonotonicTime now) {
  if (now - this->last_report < kReportInterval) {
    ++this->unreported;
    return;
  }
  LogWarning("event_loop_held_up",
             {{"late_ms", ToMillis(lateness)},
              {"step", this->longest_step.name},
              {"subject", this->longest_step.subject},
              {"step_ms", ToMillis(this->longest_step.duration)},
              {"unreported", this->unreported}});
  this->last_report = now;
  this->longest_step = {};
  this->unreported = 0;
}

}  // namespace kumquatcart
