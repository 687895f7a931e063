#include "routing/permit_schedule.h"

#include <algorithm>

namespace kumquatcart {

namespace {

// How far ahead permits are reserved: longer than an exchange between two VMs
// takes, so that the rate is used fully.
constexpr Duration kMaxReserveAhead = std::chrono::milliseconds(500);
constexpr Duration kMaxStrictReserveAhead = std::chrono::milliseconds(200);
constexpr Duration kPermitLifetime = std::chrono::milliseconds(500);
constexpr Duration kStrictPermitLifetime = std::chrono::milliseconds(200);
// A server that names a lower limit, or zero, still gets a request this often:
// only an answer can tell that its limit has ended.
constexpr double kMinRate = 1.0 / 30;
// Keeps the interval representable.
constexpr double kMinStrictRate = 1.0 / 3600;

Duration IntervalAt(const PermitRate& rate) {
  const double least = rate.is_strict ? kMinStrictRate : kMinRate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / std::max(rate.per_second, least)));
}

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(duration) * factor);
}

}  // namespace

Duration PermitLifetime(bool is_strict) {
  return is_strict ? kStrictPermitLifetime : kPermitLifetime;
}

PermitOffer PermitSchedule::Reserve(const std::string& server,
                                    const PermitRate& rate,
                                    int wanted,
                                    MonotonicTime now) {
  PermitOffer offer;
  offer.interval = IntervalAt(rate);
  const auto inserted = this->servers.try_emplace(server);
  ServerState& state = inserted.first->second;
  const bool has_passed =
      rate.is_strict &&
      state.last_permit + offer.interval + PermitLifetime(true) < now;
  if (inserted.second || has_passed) {
    state.last_permit = now - Scale(offer.interval, this->draw());
  }
  state.used_at = now;
  MonotonicTime next = std::max(state.last_permit + offer.interval, now);
  offer.first_in = next - now;
  const Duration ahead =
      rate.is_strict ? kMaxStrictReserveAhead : kMaxReserveAhead;
  while (offer.count < wanted && next <= now + ahead) {
    ++offer.count;
    state.last_permit = next;
    next += offer.interval;
  }
  return offer;
}

void PermitSchedule::DropUnused(MonotonicTime oldest) {
  for (auto entry = this->servers.begin(); entry != this->servers.end();) {
    entry = entry->second.used_at < oldest ? this->servers.erase(entry)
                                           : std::next(entry);
  }
}

}  // namespace kumquatcart
