#include "entry/request_forwarder.h"

#include <algorithm>
#include <random>

#include "base/logging.h"
#include "entry/entry_constants.h"
#include "entry/plain_load_balancer.h"
#include "entry/server_gate.h"
#include "net/http_status.h"
#include "routing/run_time_bound.h"

namespace kumquatcart {

namespace {

// Longest queueing time of a request that already misses its target: callers of
// a stream disconnect after two seconds without an event, and prefill takes
// part of these.
constexpr Duration kLateMaxWait = std::chrono::milliseconds(1300);
// Retry-After of a stopping process: others serve the request at once.
constexpr Duration kStopRetryAfter = std::chrono::milliseconds(10);
// Longest queueing time on routes without a latency target.
constexpr Duration kDefaultMaxWait = std::chrono::milliseconds(150);
// Longest time for which a request waits for trials of its prompt: callers of a
// stream disconnect after two seconds without an event.
constexpr Duration kMaxTrialWait = std::chrono::milliseconds(1000);

// Bounds a log line; longer than any host name.
constexpr std::size_t kMaxLoggedHostBytes = 255;

double DrawUniform() {
  static thread_local std::minstd_rand generator{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(generator);
}

// How much of an answer was sent, for logs.
const char* SentPart(const AnswerSender& answer) {
  if (!answer.HasBegun()) {
    return "nothing";
  }
  return answer.HasEnded() ? "whole" : "part";
}

}  // namespace

RequestForwarder::RequestForwarder(EntryContext* context,
                                   const CallerRequest& request,
                                   MonotonicTime received_at,
                                   TcpConnection* caller,
                                   Waiter* waiter,
                                   AnswerSender* answer)
    : context(context),
      request(request),
      received_at(received_at),
      routes(context->routes) {
  this->job.context = context;
  this->job.request = &request;
  this->job.caller = caller;
  this->job.waiter = waiter;
  this->job.answer = answer;
  this->job.reserve_next = [this] { return this->ReserveNext(); };
  this->job.may_send = [this] { return this->MaySendPrompt(); };
  this->job.cancel_reservation = [this] { this->CancelReservation(); };
  this->job.note_stall = [this](const ServerAttempt& attempt) {
    this->NoteRunEnd(attempt, RunEnd::kStalled);
  };
}

std::int64_t RequestForwarder::LastEvent() const {
  return this->job.progress.LastEvent().value_or(-1);
}

void RequestForwarder::LogRequest(int status, const std::string& reason) {
  const MonotonicTime now = this->context->loop->Now();
  const StreamProgress& progress = this->job.progress;
  const AnswerSender& answer = *this->job.answer;
  LogInfo(
      "request",
      {{"id", this->request.id},
       {"route", this->job.route ? this->job.route->name : ""},
       {"service", this->service},
       {"model", this->request.model},
       {"server", this->last_server},
       {"domain", this->last_domain},
       {"status", status},
       {"reason", reason},
       {"answer_framing", this->answer_framing},
       {"answer_end", this->answer_end},
       {"last_event", this->LastEvent()},
       {"sent_framing", answer.HasBegun() ? ToString(answer.Framing()) : ""},
       {"sent", SentPart(answer)},
       {"slot_by", this->slot_by},
       {"runs", this->runs},
       {"declined", this->declined},
       {"prompt", this->request.prompt_tokens},
       {"shared_parts",
        this->request.has_odd_prompt
            ? -1
            : static_cast<int>(this->request.shared_parts.size())},
       {"max_output", this->request.max_output_tokens},
       {"patience_ms", ToMillis(this->request.patience)},
       {"config", this->routes ? this->routes->Config().version : 0},
       {"first_ms",
        progress.HasForwarded()
            ? ToMillis(progress.FirstForwardedAt() - this->received_at)
            : -1},
       {"pause_ms", ToMillis(progress.LongestPause())},
       {"ms", ToMillis(now - this->received_at)}});
  this->context->metrics
      ->GetCounter("kumquatcart_requests_total",
                   {{"status", std::to_string(status)}})
      .Add();
  this->context->metrics->GetHistogram("kumquatcart_request_seconds")
      .Record(now - this->received_at);
}

bool RequestForwarder::RespondWithError(int status,
                                        Duration retry_after,
                                        std::string reason) {
  if (this->job.answer->HasBegun()) {
    this->LogRequest(status, "aborted after the answer began: " + reason);
    return false;  // Closes without the last chunk: the answer is incomplete.
  }
  this->job.answer->SendWhole(
      status, OwnAnswerFields(this->request.id, retry_after), {});
  this->LogRequest(status, reason);
  return true;
}

void RequestForwarder::WaitForStartup(Coroutine yield) {
  EventLoop& loop = *this->context->loop;
  const MonotonicTime deadline = loop.Now() + kStartupWait;
  while (
      (this->context->routes == nullptr || !this->context->has_fleet_state()) &&
      !this->job.caller->HasEnded() && loop.Now() < deadline) {
    this->job.waiter->WaitUntil(
        std::min(deadline, loop.Now() + kStartupPollInterval), yield);
  }
  this->routes = this->context->routes;
}

void RequestForwarder::Deny(int status, const char* reason) {
  const MonotonicTime read_at = this->context->config_read_at();
  const Duration age = this->context->loop->Now() - read_at;
  LogInfo("request_denied",
          {{"id", this->request.id},
           {"status", status},
           {"reason", reason},
           {"host", this->request.host.substr(0, kMaxLoggedHostBytes)},
           {"config", this->routes->Config().version},
           {"config_read_ms_ago",
            read_at == MonotonicTime{} ? -1 : ToMillis(age)}});
  this->context->metrics
      ->GetCounter("kumquatcart_denied_requests_total", {{"reason", reason}})
      .Add();
  this->RespondWithError(status, Duration{0}, reason);
}

bool RequestForwarder::ResolveRequest() {
  if (this->routes == nullptr) {
    this->RespondWithError(kHttpServiceUnavailable, kNoConfigRetryAfter,
                           "no configuration loaded");
    return false;
  }
  this->job.route =
      this->routes->Match(this->request.host, this->request.target);
  if (this->job.route == nullptr) {
    this->Deny(kHttpNotFound, this->routes->HasHost(this->request.host)
                                  ? "no route of the host has the path"
                                  : "no route has the host");
    return false;
  }
  const RoutingConfig& config = this->routes->Config();
  const KeyHolder* holder = nullptr;
  if (config.needs_keys && !this->job.route->is_public) {
    holder = this->routes->FindKeyHolder(this->request.key);
    if (holder == nullptr) {
      this->Deny(kHttpUnauthorized,
                 this->request.key.empty() ? "no API key" : "unknown API key");
      return false;
    }
    this->job.organisation = holder->organisation;
  }
  this->region_rule.emplace(*this->job.route, holder, &this->context->regions);
  const ServiceShare* share =
      RouteTable::PickService(*this->job.route, DrawUniform());
  this->service = share == nullptr ? std::string() : share->service;
  const auto spec = config.services.find(this->service);
  this->uses_groups =
      spec != config.services.end() && spec->second.engine.has_value();
  return true;
}

bool RequestForwarder::Run(Coroutine yield) {
  if (this->routes == nullptr || !this->context->has_fleet_state()) {
    this->WaitForStartup(yield);
  }
  if (!this->ResolveRequest()) {
    return true;
  }
  this->context->view->MarkTrafficStarted();
  const Duration patience = this->request.patience > Duration{0}
                                ? this->request.patience - kDeadlineMargin
                                : kDefaultRequestTimeout;
  const Duration timeout = this->job.route->timeout > Duration{0}
                               ? this->job.route->timeout
                               : patience;
  this->job.deadline = this->received_at + std::min(patience, timeout);
  this->context->shared_retry_budget->NoteRequest(this->service,
                                                  this->context->loop->Now());
  return this->RunAttempts(yield);
}

MonotonicTime RequestForwarder::LatestStart() const {
  const Duration target = this->job.route->target_latency;
  return this->received_at +
         (target > Duration{0}
              ? MaxQueueTime(target, this->context->first_event_times.Typical(
                                         this->request.model))
              : kDefaultMaxWait);
}

void RequestForwarder::ExcludeOtherRegions(SlotQuery* query) const {
  if (!this->region_rule->IsRestricted()) {
    return;
  }
  for (const auto& [id, server] : this->context->view->Servers()) {
    if (server.service == query->service &&
        !this->region_rule->Allows(server.failure_domain)) {
      query->excluded.insert(id);
    }
  }
}

SlotQuery RequestForwarder::MakeQuery() const {
  SlotQuery query;
  query.service = this->service;
  query.model = this->request.model;
  query.excluded = this->excluded;
  this->ExcludeOtherRegions(&query);
  query.prompt_tokens = this->request.prompt_tokens;
  query.gap_target = this->job.route->gap_target;
  query.latest_start = this->LatestStart();
  query.wait_until =
      std::min(this->context->loop->Now() + kLateMaxWait, this->job.AnswerBy());
  return query;
}

bool RequestForwarder::ReserveNext() {
  const MonotonicTime now = this->context->loop->Now();
  if (this->reserved_slot != nullptr) {
    return true;
  }
  if (!this->HasAttemptLeft(AttemptOutcome::kMayHaveRun, this->runs + 1) ||
      now >= this->job.AnswerBy() || !this->MaySendPrompt() ||
      !this->context->shared_retry_budget->HasRetryLeft(this->service, now)) {
    // Holds no slot for a retry that is not allowed: its server could be
    // draining by the time the retry is.
    this->slot_request = nullptr;
    return false;
  }
  if (this->slot_request == nullptr) {
    SlotQuery query = this->MakeQuery();
    query.excluded.insert(this->last_server);
    this->slot_request =
        this->context->group_balancer->Enqueue(query, this->job.waiter);
  }
  if (!this->slot_request->IsGranted() ||
      !this->context->shared_retry_budget->TryTake(this->service, now)) {
    return false;
  }
  this->reserved_slot = this->slot_request->Take();
  return true;
}

void RequestForwarder::CancelReservation() {
  this->slot_request = nullptr;
}

bool RequestForwarder::AdmitPrompt(PromptPass* pass, Coroutine yield) {
  this->prompt_trial = nullptr;
  *pass = this->context->prompts->Admit(
      this->request,
      std::min(this->context->loop->Now() + kMaxTrialWait,
               this->job.AnswerBy()),
      [this] { return this->job.caller->HasEnded(); }, this->job.waiter, yield);
  this->prompt_trial = std::move(pass->trial);
  return pass->may_send;
}

bool RequestForwarder::MaySendPrompt() const {
  return this->context->prompts->MaySend(this->request,
                                         this->prompt_trial != nullptr);
}

SlotResult RequestForwarder::AcquireSlot(Coroutine yield) {
  if (this->reserved_slot != nullptr) {
    SlotResult result;
    result.slot = std::move(this->reserved_slot);
    return result;
  }
  const SlotQuery query = this->MakeQuery();
  if (!this->uses_groups) {
    return this->context->plain_balancer->Acquire(query, this->job.caller,
                                                  this->job.waiter, yield);
  }
  return this->context->group_balancer->Acquire(query, this->job.caller,
                                                this->job.waiter, yield);
}

MonotonicTime RequestForwarder::LatestEnd() const {
  const auto& services = this->routes->Config().services;
  const auto spec = services.find(this->service);
  if (spec == services.end() || !spec->second.engine) {
    return this->job.deadline;
  }
  const std::optional<Duration> longest = LongestRunTime(
      *spec->second.engine, this->request.model, this->request.prompt_tokens,
      this->request.max_output_tokens);
  return longest ? std::min(this->job.deadline,
                            this->context->loop->Now() + *longest)
                 : this->job.deadline;
}

bool RequestForwarder::MayOutlastStop() const {
  return this->context->is_stopping && this->runs == 0 &&
         this->LatestEnd() > this->context->answer_by;
}

bool RequestForwarder::RefuseForStop() {
  return this->GiveUp(kStopRetryAfter,
                      "the process may stop before the request ends");
}

bool RequestForwarder::RunAttempts(Coroutine yield) {
  for (;;) {
    if (this->MayOutlastStop()) {
      return this->RefuseForStop();
    }
    PromptPass pass;
    const bool may_send = this->AdmitPrompt(&pass, yield);
    const SlotResult result =
        may_send ? this->AcquireSlot(yield) : SlotResult();
    if (this->job.caller->HasEnded()) {
      this->LogRequest(0, "the caller disconnected");
      return false;
    }
    if (!may_send) {
      return this->GiveUp(pass.retry_after, pass.reason);
    }
    if (this->MayOutlastStop()) {  // The stop began in the queue.
      return this->RefuseForStop();
    }
    if (result.slot == nullptr) {
      if (!result.held_back_by.empty()) {
        this->context->gate->LogRejection(this->request.id, result.held_back_by,
                                          result.retry_after);
      }
      return this->GiveUp(result.retry_after, result.reason);
    }
    // The server may have been registered since the query was made.
    if (!this->region_rule->Allows(result.slot->FailureDomain())) {
      this->excluded.insert(result.slot->ServerId());
      continue;
    }
    this->last_server = result.slot->ServerId();
    this->last_domain = result.slot->FailureDomain();
    this->context->metrics
        ->GetCounter(
            "kumquatcart_attempts_total",
            {{"failure_domain",
              this->last_domain == this->context->failure_domain ? "own"
                                                                 : "other"}})
        .Add();
    this->slot_by = result.by_coordinator ? "coordinator" : "own";
    this->job.is_late = this->context->loop->Now() > this->LatestStart();
    ServerAttempt attempt(&this->job, result.slot.get());
    const AttemptOutcome outcome = attempt.Run(yield);
    this->slot_request = nullptr;
    if (attempt.IsHeldBack()) {
      continue;  // Nothing was sent, so the next attempt is no retry.
    }
    this->NoteProgress(outcome, attempt);
    this->NoteAttempt(*result.slot, outcome, attempt);
    switch (outcome) {
      case AttemptOutcome::kDelivered:
        this->LogRequest(kHttpOk, attempt.Reason());
        return true;
      case AttemptOutcome::kCallerGone:
        this->LogRequest(0, attempt.Reason());
        return false;
      case AttemptOutcome::kDeadlineExceeded:
        return this->RespondWithError(kHttpGatewayTimeout, Duration{0},
                                      attempt.Reason());
      default:
        break;
    }
    if (!this->MayRetry(outcome)) {
      return this->GiveUp(kMinForwardRetryAfter, attempt.Reason());
    }
  }
}

void RequestForwarder::NoteProgress(AttemptOutcome outcome,
                                    const ServerAttempt& attempt) {
  switch (attempt.Progress()) {
    case AnswerProgress::kUnknown:
      break;
    case AnswerProgress::kWhole:
      this->NoteRunEnd(attempt, RunEnd::kWhole);
      break;
    case AnswerProgress::kAbandoned:
      if (!attempt.HasStalled()) {
        this->NoteRunEnd(attempt, RunEnd::kAbandoned);
      }
      break;
    case AnswerProgress::kCutShort:
      if (outcome == AttemptOutcome::kDelivered && !attempt.IsResumption()) {
        this->NoteRunEnd(attempt, RunEnd::kClosed);
      } else {
        this->NoteRunEnd(attempt, attempt.AnswerFraming().empty()
                                      ? RunEnd::kUnanswered
                                      : RunEnd::kCutShort);
      }
      break;
  }
}

void RequestForwarder::NoteRunEnd(const ServerAttempt& attempt, RunEnd end) {
  if (!this->uses_groups || attempt.WasServerLeaving()) {
    // Servers of plain services answer no reports, and the end of one that is
    // leaving says nothing of its last runs.
    if (end == RunEnd::kWhole) {
      this->context->prompts->NoteSound(this->request, WholeAnswer());
    }
    return;
  }
  EndedRun run;
  run.end = end;
  run.events = attempt.EventsReceived();
  run.sent_at = attempt.SentAt();
  BackendServer server;
  server.id = attempt.Slot().ServerId();
  server.started_ms = attempt.Slot().StartedMs();
  server.endpoint = attempt.Slot().Address();
  this->context->prompts->NoteEnd(this->request, server,
                                  std::move(this->prompt_trial), run);
}

void RequestForwarder::NoteAttempt(const ServerSlot& slot,
                                   AttemptOutcome outcome,
                                   const ServerAttempt& attempt) {
  this->excluded.insert(slot.ServerId());
  this->answer_framing = attempt.AnswerFraming();
  this->answer_end = attempt.AnswerEnd();
  if (outcome == AttemptOutcome::kFailure) {
    this->last_failure = attempt.Failure();
  }
  if (outcome == AttemptOutcome::kNotRun) {
    ++this->declined;
  } else {
    ++this->runs;
  }
  if (!attempt.SuspectedServer().empty()) {
    this->context->prober->ReportSuspected({attempt.SuspectedServer()});
  }
  if (!this->uses_groups) {
    if (outcome == AttemptOutcome::kDelivered) {
      this->context->plain_balancer->NoteSuccess(slot);
    } else if (outcome != AttemptOutcome::kCallerGone &&
               !attempt.HasBackoff()) {
      this->context->plain_balancer->NoteFailure(slot);
    }
  }
  if (outcome == AttemptOutcome::kMayHaveRun && !this->answer_framing.empty()) {
    this->context->metrics
        ->GetCounter(
            "kumquatcart_broken_answers_total",
            {{"framing", this->answer_framing}, {"end", this->answer_end}})
        .Add();
  }
  if (outcome != AttemptOutcome::kDelivered) {
    LogInfo("attempt", {{"id", this->request.id},
                        {"server", slot.ServerId()},
                        {"group", slot.Group()},
                        {"epoch", slot.Epoch()},
                        {"end", ToString(outcome)},
                        {"reason", attempt.Reason()},
                        {"answer_framing", this->answer_framing},
                        {"answer_end", this->answer_end},
                        {"last_event", this->LastEvent()},
                        {"events", attempt.EventsReceived()}});
  }
}

bool RequestForwarder::HasAttemptLeft(AttemptOutcome outcome,
                                      int runs_so_far) const {
  if (!this->job.progress.CanResume()) {
    return false;
  }
  return outcome == AttemptOutcome::kNotRun
             ? this->declined <= kMaxDeclinedRetries
             : this->job.route->repeatability != Repeatability::kAtMostOnce &&
                   runs_so_far < this->job.route->attempts;
}

bool RequestForwarder::MayRetry(AttemptOutcome outcome) {
  if (this->reserved_slot != nullptr) {
    return true;  // ReserveNext() took the retry from the budget.
  }
  const MonotonicTime now = this->context->loop->Now();
  if (this->context->prompts->IsRefused(this->request)) {
    return false;
  }
  return this->HasAttemptLeft(outcome, this->runs) &&
         now < this->job.AnswerBy() && !this->job.caller->HasEnded() &&
         this->context->shared_retry_budget->TryTake(this->service, now);
}

bool RequestForwarder::GiveUp(Duration retry_after, const std::string& reason) {
  if (this->last_failure && !this->job.answer->HasBegun()) {
    BufferedAnswer& failure = *this->last_failure;
    this->job.answer->SendWhole(failure.status, std::move(failure.headers),
                                failure.body);
    this->LogRequest(failure.status, reason);
    return true;
  }
  return this->runs == 0
             ? this->RespondWithError(kHttpServiceUnavailable, retry_after,
                                      reason)
             : this->RespondWithError(kHttpBadGateway, Duration{0}, reason);
}

}  // namespace kumquatcart
