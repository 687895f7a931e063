#include "routing/repeat_allowance.h"

#include "base/expiring_times.h"

namespace kumquatcart {

namespace {

// Part of the allowance that is used: clocks and counts of the VMs differ by
// the messages in flight.
constexpr double kUsedPart = 0.85;

}  // namespace

void RepeatAllowance::Expire(Counts* counts, MonotonicTime now) const {
  DropBefore(&counts->requests, now - this->bounds.window);
  DropBefore(&counts->repeats, now - this->bounds.window);
}

void RepeatAllowance::NoteRequest(const std::string& service,
                                  MonotonicTime now) {
  Counts& counts = this->by_service[service];
  this->Expire(&counts, now);
  counts.requests.push_back(now);
}

bool RepeatAllowance::HasLeft(const std::string& service, MonotonicTime now) {
  Counts& counts = this->by_service[service];
  this->Expire(&counts, now);
  const double allowed =
      kUsedPart *
      (this->bounds.base / this->nodes +
       this->bounds.ratio * static_cast<double>(counts.requests.size()));
  return static_cast<double>(counts.repeats.size()) + 1 <= allowed;
}

bool RepeatAllowance::TryTake(const std::string& service, MonotonicTime now) {
  if (!this->HasLeft(service, now)) {
    return false;
  }
  this->by_service[service].repeats.push_back(now);
  return true;
}

}  // namespace kumquatcart
