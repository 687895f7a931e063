#include "entry/plain_load_balancer.h"

#include <algorithm>
#include <utility>

#include "base/scope_guard.h"
#include "entry/entry_constants.h"

namespace kumquatcart {

namespace {

// Load penalty, as a fraction of a server's slots, on servers in other failure
// domains.
constexpr double kRemoteDomainPenalty = 0.1;
// Running and queued requests per slot. Beyond this a server would decline the
// request or answer too late.
constexpr int kMaxRequestsPerSlot = 4;
// Weight of a server's recent failures relative to its load.
constexpr double kFailureWeight = 1.0;

}  // namespace

std::vector<const BackendServer*> PlainLoadBalancer::RankServers(
    const SlotQuery& query,
    SlotResult* result) const {
  result->reason = "the service has no available server";
  result->retry_after = std::max(kMinForwardRetryAfter,
                                 this->gate->ShortestBackoff(query.excluded));
  const MonotonicTime now = this->loop->Now();
  std::vector<std::pair<double, const BackendServer*>> scores;
  for (const auto& entry : this->view->Servers()) {
    const BackendServer& server = entry.second;
    if (server.service != query.service || server.draining ||
        this->view->IsEvacuated(server.failure_domain) ||
        query.excluded.count(server.id) > 0) {
      continue;
    }
    const int taken = this->counts.requests->Total(server.id);
    if (taken >= server.slots * kMaxRequestsPerSlot) {
      result->reason = "all servers are at their request limit";
      result->retry_after = kMinForwardRetryAfter;
      continue;
    }
    const double score =
        static_cast<double>(taken) / server.slots +
        kFailureWeight *
            this->failures.Of({server.id, server.started_ms}, now) +
        (server.failure_domain == this->failure_domain ? 0
                                                       : kRemoteDomainPenalty);
    scores.emplace_back(score, &server);
  }
  std::stable_sort(scores.begin(), scores.end(),
                   [](const auto& left, const auto& right) {
                     return left.first < right.first;
                   });
  std::vector<const BackendServer*> ranked;
  ranked.reserve(scores.size());
  for (const auto& entry : scores) {
    ranked.push_back(entry.second);
  }
  return ranked;
}

SlotResult PlainLoadBalancer::TryAcquire(const SlotQuery& query,
                                         bool is_first_try) {
  SlotResult result;
  std::optional<MonotonicTime> earliest;
  for (const BackendServer* server : this->RankServers(query, &result)) {
    if (this->gate->TryPass(server->id, is_first_try)) {
      result.slot = std::make_unique<ServerSlot>(this->counts, *server, "", 0,
                                                 0, nullptr);
      return result;
    }
    const MonotonicTime expected =
        this->PassExpectedAt(server->id).value_or(MonotonicTime::max());
    if (!earliest || expected < *earliest) {
      earliest = expected;
      result.held_back_by = server->id;
    }
  }
  return result;
}

std::optional<MonotonicTime> PlainLoadBalancer::PassExpectedAt(
    const std::string& server) {
  return this->gate->PassExpectedAt(server, this->waiting.count(server));
}

SlotResult PlainLoadBalancer::Acquire(const SlotQuery& query,
                                      TcpConnection* caller,
                                      Waiter* waiter,
                                      Coroutine yield) {
  bool is_first_try = true;
  for (;;) {
    SlotResult result = this->TryAcquire(query, is_first_try);
    is_first_try = false;
    if (result.held_back_by.empty() || result.slot != nullptr ||
        caller->HasEnded()) {
      return result;
    }
    const std::optional<MonotonicTime> expected =
        this->PassExpectedAt(result.held_back_by);
    if (!expected || *expected > query.latest_start ||
        this->loop->Now() >= query.latest_start) {
      result.retry_after = this->gate->NextRetryAfter(result.held_back_by);
      result.reason = this->gate->HoldReason(result.held_back_by);
      return result;
    }
    const auto entry = this->waiting.emplace(result.held_back_by, waiter);
    const ScopeGuard guard([this, entry] { this->waiting.erase(entry); });
    waiter->WaitUntil(query.latest_start, yield);
  }
}

void PlainLoadBalancer::HandleGateOpened() {
  for (const auto& entry : this->waiting) {
    entry.second->Notify();
  }
}

void PlainLoadBalancer::NoteFailure(const ServerSlot& slot) {
  this->failures.NoteFailure({slot.ServerId(), slot.StartedMs()},
                             this->loop->Now());
}

void PlainLoadBalancer::NoteSuccess(const ServerSlot& slot) {
  this->failures.NoteSuccess({slot.ServerId(), slot.StartedMs()},
                             this->loop->Now());
}

}  // namespace kumquatcart
