#include "routing/shared_retry_budget.h"

#include "routing/expiring_times.h"

namespace kumquatcart {

namespace {

// Fraction of the budget that is used, since clocks and counts of the entry VMs
// differ by the messages in flight.
constexpr double kUsableFraction = 0.85;

}  // namespace

void SharedRetryBudget::DropExpired(Counts* counts, MonotonicTime now) const {
  DropBefore(&counts->requests, now - this->bounds.window);
  DropBefore(&counts->retries, now - this->bounds.window);
}

void SharedRetryBudget::NoteRequest(const std::string& service,
                                    MonotonicTime now) {
  Counts& counts = this->by_service[service];
  this->DropExpired(&counts, now);
  counts.requests.push_back(now);
}

double SharedRetryBudget::BaseShare(MonotonicTime now) const {
  return this->nodes > 0 && now >= this->base_usable_at
             ? this->bounds.base / this->nodes
             : 0;
}

bool SharedRetryBudget::HasRetryLeft(const std::string& service,
                                     MonotonicTime now) {
  Counts& counts = this->by_service[service];
  this->DropExpired(&counts, now);
  const double allowed =
      kUsableFraction *
      (this->BaseShare(now) +
       this->bounds.ratio * static_cast<double>(counts.requests.size()));
  return static_cast<double>(counts.retries.size()) + 1 <= allowed;
}

bool SharedRetryBudget::TryTake(const std::string& service, MonotonicTime now) {
  if (!this->HasRetryLeft(service, now)) {
    return false;
  }
  this->by_service[service].retries.push_back(now);
  return true;
}

}  // namespace kumquatcart
