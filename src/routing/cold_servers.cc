#include "routing/cold_servers.h"

#include <algorithm>

#include "routing/permit_schedule.h"

namespace kumquatcart {

namespace {

// Part of the bound that permits of a coordinator take up at most. The rest is
// for VMs that reach no coordinator, and for requests that arrive late.
constexpr double kCoordinatedPart = 0.9;
// VMs without a coordinator send at random times, of which many may fall into
// one second.
constexpr double kLonePart = 0.25;

}  // namespace

double SharedColdRate(double per_second, const ColdBound& bound) {
  const double allowed = per_second * bound.factor + bound.extra;
  // Permits that became usable in this time may all be used within one second;
  // in any interval it is one more than the rate gives.
  const double seconds =
      1 +
      std::chrono::duration<double>(PermitLifetime(/*is_strict=*/true)).count();
  const double steady = (kCoordinatedPart * allowed - 1) / seconds;
  return std::clamp(steady, 0.0, std::max(per_second, 0.0));
}

double LoneColdRate(double shared_rate, int nodes) {
  return kLonePart * shared_rate / nodes;
}

void ColdServers::SetServices(
    const std::map<std::string, ServiceSpec>& services) {
  this->services.clear();
  for (const auto& [name, service] : services) {
    if (service.cold_requests_per_second > 0) {
      this->services[name] = {service.cold_time,
                              service.cold_requests_per_second};
    }
  }
}

const ColdServers::ColdService* ColdServers::FindService(
    const ServerState& state) const {
  const auto found = this->services.find(state.service);
  return found == this->services.end() ? nullptr : &found->second;
}

bool ColdServers::NoteEntry(const BackendServer& server, MonotonicTime now) {
  const bool was_cold = this->FindEnd(server.id, now).has_value();
  ServerState& state = this->servers[server.id];
  if (server.started_ms < state.started_ms) {
    return false;
  }
  if (!MayBeSameStart(state.started_ms, server.started_ms)) {
    state.returned_at.reset();
  }
  state.service = server.service;
  state.started_ms = server.started_ms;
  state.stated_end = now + std::min(server.cold_left, kMaxStatedColdTime);
  return !was_cold && this->FindEnd(server.id, now).has_value();
}

bool ColdServers::NoteReturn(const std::string& server, MonotonicTime now) {
  const auto found = this->servers.find(server);
  if (found == this->servers.end()) {
    return false;
  }
  const bool was_cold = this->FindEnd(server, now).has_value();
  found->second.returned_at = now;
  return !was_cold && this->FindEnd(server, now).has_value();
}

std::optional<MonotonicTime> ColdServers::FindEnd(const std::string& server,
                                                  MonotonicTime now) const {
  if (this->services.empty()) {
    return std::nullopt;
  }
  const auto found = this->servers.find(server);
  if (found == this->servers.end()) {
    return std::nullopt;
  }
  const ServerState& state = found->second;
  const ColdService* service = this->FindService(state);
  if (service == nullptr) {
    return std::nullopt;
  }
  const MonotonicTime end =
      state.returned_at
          ? std::max(state.stated_end, *state.returned_at + service->start_time)
          : state.stated_end;
  return end > now ? std::optional(end) : std::nullopt;
}

std::optional<double> ColdServers::FindRate(const std::string& server,
                                            MonotonicTime now) const {
  if (!this->FindEnd(server, now)) {
    return std::nullopt;
  }
  const ColdService* service =
      this->FindService(this->servers.find(server)->second);
  return SharedColdRate(service->per_second, this->bound);
}

int ColdServers::Count(MonotonicTime now) const {
  return static_cast<int>(
      std::count_if(this->servers.begin(), this->servers.end(),
                    [this, now](const auto& entry) {
                      return this->FindEnd(entry.first, now).has_value();
                    }));
}

void ColdServers::DropStale(
    const std::function<bool(const std::string&)>& exists) {
  for (auto entry = this->servers.begin(); entry != this->servers.end();) {
    entry =
        exists(entry->first) ? std::next(entry) : this->servers.erase(entry);
  }
}

}  // namespace kumquatcart
