#include "entry/slot_client.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"

namespace kumquatcart {

namespace {

// Time for the coordinator to answer: several round trips in a failure domain,
// and the delay of a busy VM. A request that is not answered then still meets
// its latency target elsewhere.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(25);
// Interval at which a queued request is sent again, in case that the
// coordinator or its grant is lost.
constexpr Duration kQueuedInterval = std::chrono::milliseconds(120);
// Time without requests to a coordinator that did not answer. It doubles with
// each further request without an answer.
constexpr Duration kSilencePause = std::chrono::milliseconds(100);
constexpr int kMaxSilenceDoublings = 4;

std::int64_t ToMicros(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

}  // namespace

void SlotClient::CountOutcome(const char* outcome) {
  this->metrics
      ->GetCounter("kumquatcart_slot_requests_total", {{"outcome", outcome}})
      .Add();
}

std::int64_t SlotClient::Begin(const SlotQuery& query,
                               std::function<void()> notify) {
  const std::string coordinator = this->network->FindCoordinator();
  if (coordinator.empty() || coordinator == this->node ||
      this->network->Now() < this->ask_after) {
    return 0;
  }
  if (coordinator != this->reported_to) {
    LogInfo("slot_coordinator", {{"node", coordinator},
                                 {"former", this->reported_to},
                                 {"held", this->held.size()}});
    this->SendReport(coordinator);
  }
  const std::int64_t id = ++this->last_id;
  PendingRequest& request = this->pending[id];
  request.query = query;
  request.notify = std::move(notify);
  request.coordinator = coordinator;
  this->SendAsk(id, &request);
  return id;
}

void SlotClient::SendAsk(std::int64_t id, PendingRequest* request) {
  const MonotonicTime now = this->network->Now();
  const SlotQuery& query = request->query;
  SlotAsk ask;
  ask.node = this->node;
  ask.id = id;
  ask.service = query.service;
  ask.model = query.model;
  ask.excluded.assign(query.excluded.begin(), query.excluded.end());
  ask.prompt_tokens = query.prompt_tokens;
  ask.gap_target_us = ToMicros(query.gap_target);
  ask.start_in_us = ToMicros(query.latest_start - now);
  ask.wait_us = ToMicros(query.wait_until - now);
  request->answer_by = now + kReplyTimeout;
  request->is_asked = true;
  this->network->Send(request->coordinator, ask);
}

SlotRequestStatus SlotClient::Check(std::int64_t id) {
  using State = SlotRequestStatus::State;
  const auto found = this->pending.find(id);
  if (found == this->pending.end()) {
    return {};
  }
  PendingRequest& request = found->second;
  const MonotonicTime now = this->network->Now();
  SlotRequestStatus status = request.status;
  if (request.has_news) {
    this->pending.erase(found);
    return status;
  }
  if (now >= request.query.wait_until) {
    this->Cancel(id);
    this->CountOutcome("expired");
    status.state = State::kRejected;
    status.has_expired = true;
    return status;
  }
  if (now >= request.answer_by && request.is_asked) {
    this->NoteSilence(request.coordinator);
    this->Cancel(id);
    return {};
  }
  if (now >= request.answer_by) {
    this->SendAsk(id, &request);
  }
  status.state = State::kPending;
  status.check_at = std::min(request.query.wait_until, request.answer_by);
  return status;
}

void SlotClient::NoteSilence(const std::string& coordinator) {
  const Duration pause = kSilencePause * (1 << std::min(this->missed_replies++,
                                                        kMaxSilenceDoublings));
  this->ask_after = this->network->Now() + pause;
  LogWarning("slot_coordinator_silent", {{"node", coordinator},
                                         {"missed", this->missed_replies},
                                         {"pause_ms", ToMillis(pause)}});
  this->CountOutcome("silent");
}

void SlotClient::Cancel(std::int64_t id) {
  const auto request = this->pending.find(id);
  if (request == this->pending.end()) {
    return;
  }
  // Granted meanwhile.
  this->held.erase(id);
  this->SendReturn(request->second.coordinator, id);
  this->pending.erase(request);
}

std::int64_t SlotClient::Hold(const std::string& server) {
  const std::int64_t id = ++this->last_id;
  this->held[id] = server;
  return id;
}

void SlotClient::Return(std::int64_t id) {
  if (this->held.erase(id) == 0) {
    return;
  }
  const std::string coordinator = this->network->FindCoordinator();
  if (!coordinator.empty() && coordinator != this->node) {
    this->SendReturn(coordinator, id);
  }
}

void SlotClient::SendReturn(const std::string& coordinator, std::int64_t id) {
  this->network->Send(coordinator, SlotReturn{this->node, id});
}

void SlotClient::HandleReply(const SlotReply& reply) {
  using State = SlotRequestStatus::State;
  this->missed_replies = 0;
  const auto found = this->pending.find(reply.id);
  if (found == this->pending.end()) {
    // The request has ended without the reply. A slot that is in use was
    // granted by an earlier copy of it.
    if (reply.state == SlotState::kGranted && this->held.count(reply.id) == 0) {
      this->SendReturn(reply.node, reply.id);
    }
    return;
  }
  PendingRequest& request = found->second;
  if (request.has_news) {
    return;
  }
  this->CountOutcome(ToString(reply.state));
  request.is_asked = false;
  switch (reply.state) {
    case SlotState::kQueued:
      request.answer_by = this->network->Now() + kQueuedInterval;
      if (reply.retry_after_us > 0) {
        request.status.retry_after =
            std::chrono::microseconds(reply.retry_after_us);
      }
      return;
    case SlotState::kGranted:
      request.status.state = State::kGranted;
      request.status.group = reply.group;
      request.status.epoch = reply.epoch;
      request.status.server = reply.server;
      this->held[reply.id] = reply.server;
      break;
    case SlotState::kRejected:
      request.status.state = State::kRejected;
      request.status.retry_after =
          std::chrono::microseconds(reply.retry_after_us);
      break;
    case SlotState::kUnavailable:
      request.status.state = State::kUnavailable;
      break;
  }
  request.has_news = true;
  request.notify();
}

void SlotClient::Report() {
  const std::string coordinator = this->network->FindCoordinator();
  if (!coordinator.empty() && coordinator != this->node) {
    this->SendReport(coordinator);
  }
}

void SlotClient::SendReport(const std::string& coordinator) {
  SlotReport report;
  report.node = this->node;
  for (const auto& [id, server] : this->held) {
    report.held.push_back({id, server});
  }
  this->reported_to = coordinator;
  this->network->Send(coordinator, report);
}

}  // namespace kumquatcart
