#include "entry/server_gate.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"

namespace kumquatcart {

namespace {

// Time in which a server that has just ended its backoff answers a request.
constexpr Duration kUsualAnswerTime = std::chrono::milliseconds(50);
// Time between the returns of two callers, and the latest return, after the end
// of a backoff.
constexpr Duration kReturnStep = std::chrono::milliseconds(10);
constexpr Duration kMaxReturnSpread = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

}  // namespace

ServerGate::ServerGate(PermitNetwork* network,
                       const ClusterLoad* requests,
                       ServerLimiter* limiter,
                       MetricRegistry* metrics,
                       std::uint32_t seed,
                       std::function<void()> opened)
    : network(network),
      requests(requests),
      limiter(limiter),
      metrics(metrics),
      opened(std::move(opened)),
      generator(seed) {}

double ServerGate::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(this->generator);
}

bool ServerGate::HasBackoff(const std::string& server) const {
  return this->backoffs.FindEnd(server, this->network->Now()).has_value();
}

bool ServerGate::IsRestrained(const std::string& server) const {
  const std::optional<int> most =
      this->backoffs.MaxInProgress(server, this->network->Now());
  return most && this->requests->LocalCount(server) >= *most;
}

bool ServerGate::IsOpen(const std::string& server) {
  return !this->IsRestrained(server) && this->limiter->HasPermit(server);
}

bool ServerGate::TryPass(const std::string& server, bool is_first_try) {
  if (this->IsRestrained(server)) {
    return false;
  }
  if (!this->limiter->HasPermit(server)) {
    if (is_first_try) {
      this->limiter->NoteDemand(server);
    } else {
      this->limiter->Refill(server);
    }
  }
  return this->limiter->TryTake(server);
}

std::optional<MonotonicTime> ServerGate::PassExpectedAt(
    const std::string& server,
    std::size_t ahead) {
  if (!this->IsRestrained(server)) {
    return this->limiter->PermitExpectedAt(server, ahead);
  }
  return this->network->Now() +
         this->EstimateWait(server, static_cast<int>(ahead));
}

Duration ServerGate::EstimateWait(const std::string& server, int ahead) const {
  const Duration permit_wait = this->limiter->EstimateWait(server, ahead);
  if (!this->IsRestrained(server)) {
    return permit_wait;
  }
  const MonotonicTime now = this->network->Now();
  const std::optional<MonotonicTime> end = this->backoffs.FindEnd(server, now);
  return std::max(permit_wait, end ? *end - now : kUsualAnswerTime);
}

Duration ServerGate::NextRetryAfter(const std::string& server) {
  const MonotonicTime now = this->network->Now();
  const std::optional<MonotonicTime> end = this->backoffs.FindEnd(server, now);
  if (!end) {
    return this->IsLimited(server) ? this->limiter->NextRetryAfter(server)
                                   : kMinRetryAfter;
  }
  MonotonicTime& latest = this->latest_returns[server];
  latest = std::clamp(latest + kReturnStep, *end, *end + kMaxReturnSpread);
  return latest - now;
}

const char* ServerGate::HoldReason(const std::string& server) const {
  return this->IsRestrained(server)
             ? "the servers take no requests for a time"
             : "the rate limits of the servers are used up";
}

Duration ServerGate::ShortestBackoff(
    const std::set<std::string>& servers) const {
  const MonotonicTime now = this->network->Now();
  std::optional<MonotonicTime> earliest;
  for (const std::string& server : servers) {
    const MonotonicTime end = this->backoffs.FindEnd(server, now).value_or(now);
    earliest = std::min(earliest.value_or(end), end);
  }
  return earliest.value_or(now) - now;
}

void ServerGate::HandleBackoff(const ServerStart& server,
                               Duration backoff,
                               const std::string& request_id) {
  const MonotonicTime now = this->network->Now();
  const Duration delay =
      ReturnDelay(backoff, this->network->CountNodes().live, this->Draw());
  const bool is_later = this->backoffs.Record(server, now + backoff + delay);
  this->metrics
      ->GetCounter("kumquatcart_server_backoffs_total",
                   {{"later", is_later ? "1" : "0"}})
      .Add();
  LogInfo("server_backoff", {{"id", request_id},
                             {"server", server.id},
                             {"started_ms", server.started_ms},
                             {"backoff_ms", ToMillis(backoff)},
                             {"return_delay_ms", ToMillis(delay)},
                             {"later", is_later ? 1 : 0},
                             {"source", "answer"}});
  if (is_later) {
    this->network->CallAfter(backoff + delay, this->opened);
  }
}

void ServerGate::HandleUnreadableBackoff(const std::string& server,
                                         const std::string& request_id) {
  if (this->unreadable.insert(server).second) {
    LogWarning("server_backoff_unreadable",
               {{"id", request_id}, {"server", server}});
  }
}

void ServerGate::HandleAccepted(const std::string& server) {
  const bool was_restrained = this->IsRestrained(server);
  this->backoffs.RecordAccepted(server, this->network->Now());
  if (was_restrained && !this->IsRestrained(server)) {
    this->opened();
  }
}

void ServerGate::HandleStart(const ServerStart& server) {
  if (this->backoffs.HandleStart(server)) {
    LogInfo("server_backoff_ended", {{"server", server.id},
                                     {"started_ms", server.started_ms},
                                     {"cause", "restart"}});
    this->latest_returns.erase(server.id);
    this->opened();
  }
}

void ServerGate::DropStale(
    const std::function<bool(const std::string&)>& exists) {
  const MonotonicTime now = this->network->Now();
  this->backoffs.DropStale(now, exists);
  for (auto entry = this->latest_returns.begin();
       entry != this->latest_returns.end();) {
    entry = this->HasBackoff(entry->first) ? std::next(entry)
                                           : this->latest_returns.erase(entry);
  }
  for (auto server = this->unreadable.begin();
       server != this->unreadable.end();) {
    server =
        exists(*server) ? std::next(server) : this->unreadable.erase(server);
  }
}

void ServerGate::LogRejection(const std::string& request_id,
                              const std::string& server,
                              Duration retry_after) const {
  const MonotonicTime now = this->network->Now();
  const std::optional<MonotonicTime> end = this->backoffs.FindEnd(server, now);
  if (!end) {
    this->limiter->LogRejection(request_id, server, retry_after);
    return;
  }
  LogInfo("held_back", {{"id", request_id},
                        {"server", server},
                        {"backoff_left_ms", ToMillis(*end - now)},
                        {"retry_after_ms", ToMillis(retry_after)}});
}

}  // namespace kumquatcart
