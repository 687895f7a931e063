#include "routing/load_ledger.h"

#include <algorithm>

namespace kumquatcart {

LoadLedger::LoadLedger(Duration memory) : memory(memory) {}

void LoadLedger::Start(const BackendId& backend, MonotonicTime now) {
  History& history = this->histories[backend];
  const int before = history.empty() ? 0 : history.back().in_flight;
  this->Append(&history, now, before + 1);
}

void LoadLedger::Finish(const BackendId& backend, MonotonicTime now) {
  const int before = this->InFlight(backend);
  if (before == 0) {
    return;
  }
  this->Append(&this->histories[backend], now, before - 1);
}

int LoadLedger::InFlight(const BackendId& backend) const {
  const auto found = this->histories.find(backend);
  return found == this->histories.end() ? 0 : found->second.back().in_flight;
}

int LoadLedger::InFlightAt(const BackendId& backend, MonotonicTime when) const {
  const auto found = this->histories.find(backend);
  if (found == this->histories.end()) {
    return 0;
  }
  const History& history = found->second;
  const auto after = std::upper_bound(
      history.begin(), history.end(), when,
      [](MonotonicTime time, const Step& step) { return time < step.since; });
  return after == history.begin() ? 0 : std::prev(after)->in_flight;
}

double LoadLedger::Estimate(const BackendId& backend,
                            const EngineLoad& reported,
                            MonotonicTime now) const {
  const Duration age = std::chrono::milliseconds(reported.age_ms);
  const MonotonicTime reported_at = now - std::min(age, this->memory);
  const int own_now = this->InFlight(backend);
  const int own_then = this->InFlightAt(backend, reported_at);
  const int estimate = reported.running + reported.queued + own_now - own_then;
  return std::max(estimate, own_now);
}

void LoadLedger::Prune(MonotonicTime now) {
  const MonotonicTime oldest = now - this->memory;
  for (auto entry = this->histories.begin(); entry != this->histories.end();) {
    const Step& last = entry->second.back();
    const bool idle = last.in_flight == 0 && last.since < oldest;
    entry = idle ? this->histories.erase(entry) : std::next(entry);
  }
}

void LoadLedger::Append(History* history,
                        MonotonicTime now,
                        int in_flight) const {
  if (!history->empty() && history->back().since == now) {
    history->back().in_flight = in_flight;
  } else {
    history->push_back({now, in_flight});
  }
  // The step in force at the oldest remembered time stays.
  const MonotonicTime oldest = now - this->memory;
  while (history->size() > 1 && (*history)[1].since <= oldest) {
    history->pop_front();
  }
}

}  // namespace kumquatcart
