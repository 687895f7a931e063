#include "routing/in_flight_history.h"

#include <algorithm>

namespace kumquatcart {

InFlightHistory::InFlightHistory(Duration history) : history(history) {}

void InFlightHistory::Start(MonotonicTime now) {
  this->Append(now, this->InFlight() + 1);
}

void InFlightHistory::Finish(MonotonicTime now) {
  const int before = this->InFlight();
  if (before == 0) {
    return;
  }
  this->Append(now, before - 1);
}

int InFlightHistory::InFlight() const {
  return this->steps.empty() ? 0 : this->steps.back().in_flight;
}

int InFlightHistory::InFlightAt(MonotonicTime when) const {
  const auto after = std::upper_bound(
      this->steps.begin(), this->steps.end(), when,
      [](MonotonicTime time, const Step& step) { return time < step.since; });
  return after == this->steps.begin() ? 0 : std::prev(after)->in_flight;
}

double InFlightHistory::Estimate(const EngineLoad& reported,
                                 MonotonicTime now) const {
  const Duration age = std::chrono::milliseconds(reported.age_ms);
  const MonotonicTime reported_at = now - std::min(age, this->history);
  const int own_now = this->InFlight();
  const int own_then = this->InFlightAt(reported_at);
  const int estimate = reported.running + reported.queued + own_now - own_then;
  return std::max(estimate, own_now);
}

void InFlightHistory::Append(MonotonicTime now, int in_flight) {
  if (!this->steps.empty() && this->steps.back().since == now) {
    this->steps.back().in_flight = in_flight;
  } else {
    this->steps.push_back({now, in_flight});
  }
  // The step that applies at the oldest kept time is kept.
  const MonotonicTime oldest = now - this->history;
  while (this->steps.size() > 1 && this->steps[1].since <= oldest) {
    this->steps.pop_front();
  }
}

}  // namespace kumquatcart
