#include "gateway/service_call.h"

#include <algorithm>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>

#include "base/logging.h"
#include "gateway/gateway_constants.h"

namespace kumquatcart {

namespace {

constexpr char kAnyMethod[] = "*";
constexpr char kReplayedHeader[] = "Idempotency-Replayed";
constexpr char kAuthorizationHeader[] = "Authorization";
constexpr char kContentTypeHeader[] = "Content-Type";
constexpr int kStatusUnprocessable = 422;
constexpr int kStatusConflict = 409;

// Largest body kept with a completed claim, in bytes.
constexpr std::size_t kMaxStoredBodyBytes = 16 * 1024;

bool IsForwardedRequestHeader(const std::string& name) {
  // Set anew for each attempt, or meant for the gateway.
  return !IsHopByHopHeader(name) &&
         !boost::algorithm::iequals(name, kAuthorizationHeader) &&
         !boost::algorithm::iequals(name, kContentTypeHeader) &&
         !boost::algorithm::iequals(name, kRequestIdHeader) &&
         !boost::algorithm::iequals(name, kAttemptIdHeader);
}

bool IsForwardedAnswerHeader(const std::string& name) {
  return !IsHopByHopHeader(name) &&
         !boost::algorithm::iequals(name, kContentTypeHeader) &&
         !boost::algorithm::iequals(name, kRequestIdHeader) &&
         !boost::algorithm::iequals(name, kAttemptIdHeader) &&
         !boost::algorithm::iequals(name, kOutcomeHeader);
}

std::string DigestRequest(const IncomingRequest& incoming,
                          const std::string& path_and_query) {
  return Sha256Hex(incoming.method + "\n" + path_and_query + "\n" +
                   incoming.body);
}

}  // namespace

RequestKind ClassifyServiceRequest(const PlainService& service,
                                   const std::string& method,
                                   const std::string& path,
                                   const IdempotencyKey& key) {
  const auto& routes = service.non_idempotent_routes;
  const bool matched =
      std::any_of(routes.begin(), routes.end(), [&](const auto& route) {
        const bool method_matches =
            route.method == kAnyMethod || route.method == method;
        return method_matches &&
               boost::algorithm::starts_with(path, route.path_prefix);
      });
  if (!matched) {
    return RequestKind::kIdempotent;
  }
  return key.IsEmpty() ? RequestKind::kNonIdempotent : RequestKind::kKeyed;
}

ServiceCall::ServiceCall(std::shared_ptr<IncomingRequest> incoming,
                         Configured<PlainService> service,
                         std::string path_and_query,
                         RequestKind kind)
    : incoming(std::move(incoming)),
      context(this->incoming->context),
      service(std::move(service)),
      path_and_query(std::move(path_and_query)),
      kind(kind),
      claim_key{this->incoming->caller.organisation,
                ServiceName(this->service.meta.name.value),
                this->incoming->options.idempotency_key},
      truth(kind) {}

void ServiceCall::Start() {
  const std::shared_ptr<ServiceCall> self = this->shared_from_this();
  this->admission.request = MakeId<RequestId>();
  this->admission.organisation = this->incoming->caller.organisation;
  this->admission.service = ServiceName(this->service.meta.name.value);
  this->admission.priority = this->incoming->options.priority;
  this->admission.deadline = this->incoming->arrived_at + this->Timeout();
  this->deadline_timer = this->context->parts.clock->CallAfter(
      this->Timeout(), [weak = this->weak_from_this()] {
        if (const auto call = weak.lock()) {
          call->HandleDeadline();
        }
      });
  this->context->parts.retry_budget->RecordFirstAttempt();
  if (this->kind != RequestKind::kKeyed) {
    this->Submit();
    return;
  }
  // Before admission: a repeat of a request that ran must never be told that
  // it was not run, however busy this entry VM is.
  this->context->parts.idempotency->Claim(
      this->claim_key, DigestRequest(*this->incoming, this->path_and_query),
      this->Timeout(),
      [self](const Result<ClaimVerdict>& claim) { self->HandleClaim(claim); });
}

void ServiceCall::Submit() {
  const std::shared_ptr<ServiceCall> self = this->shared_from_this();
  this->context->parts.admission->Submit(
      this->admission,
      [self](const Status& admitted) { self->HandleAdmission(admitted); });
}

void ServiceCall::HandleAdmission(const Status& admission) {
  if (!admission.has_value()) {
    const bool late = admission.error().code == ErrorCode::kCancelled;
    this->GiveUp(late ? this->DescribeFailure() : admission.error());
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->admitted = true;
  }
  this->TryAttempt();
}

void ServiceCall::HandleClaim(const Result<ClaimVerdict>& claim) {
  if (!claim.has_value()) {
    // Whether the key ran before is not known, so that "not run" could be
    // false.
    this->context->parts.clock->Cancel(this->deadline_timer);
    this->incoming->Refuse(RequestOutcome::kUnknown, claim.error());
    return;
  }
  if (claim.value().state != ClaimState::kOwned) {
    this->ReplyFromClaim(claim.value());
    return;
  }
  this->claim_owned = true;
  if (this->DeadlinePassed()) {
    this->GiveUp(this->DescribeFailure());
    return;
  }
  this->Submit();
}

void ServiceCall::ReplyFromClaim(const ClaimVerdict& verdict) {
  this->context->parts.clock->Cancel(this->deadline_timer);
  if (verdict.state == ClaimState::kMismatch) {
    this->incoming->Refuse(
        RequestOutcome::kNotRun,
        MakeError(ErrorCode::kConflict,
                  "header Idempotency-Key: belongs to a different request"),
        kStatusUnprocessable);
  } else if (verdict.state == ClaimState::kUnknown) {
    this->incoming->Refuse(
        RequestOutcome::kUnknown,
        MakeError(ErrorCode::kUnknown,
                  "this request was begun before and its answer never came"),
        kStatusConflict);
  } else if (verdict.answer.body_dropped) {
    this->incoming->Refuse(
        RequestOutcome::kCompleted,
        MakeError(ErrorCode::kConflict,
                  "this request completed before; its answer was too large "
                  "to keep"),
        kStatusConflict);
  } else {
    WholeReply reply;
    reply.status = verdict.answer.status;
    reply.content_type = verdict.answer.content_type;
    reply.body = verdict.answer.body;
    reply.headers.push_back(HttpHeader{kReplayedHeader, "true"});
    this->incoming->Reply(RequestOutcome::kCompleted, std::move(reply));
  }
  this->EndAdmission();
}

Result<Route> ServiceCall::ChooseRoute() {
  RouteQuery query;
  query.service = ServiceName(this->service.meta.name.value);
  query.priority = this->incoming->options.priority;
  query.excluded = this->excluded;
  Result<Route> chosen = this->context->parts.router->Choose(query);
  if (chosen.has_value() || this->excluded.empty()) {
    return chosen;
  }
  // Nothing else is left: only the connection may have been at fault.
  query.excluded.clear();
  return this->context->parts.router->Choose(query);
}

void ServiceCall::TryAttempt() {
  Result<Route> chosen = this->ChooseRoute();
  if (!chosen.has_value()) {
    this->GiveUp(chosen.error());
    return;
  }
  this->route = std::move(chosen.value());
  this->StartAttempt();
}

void ServiceCall::StartAttempt() {
  ++this->attempts;
  this->attempt = MakeId<AttemptId>();
  this->attempt_started_at = this->context->parts.clock->Now();
  this->head = UpstreamAnswerHead();
  this->body.clear();
  this->rejected.clear();
  this->incoming->NoteAttempt(this->attempt, this->route.group);
  GatewaySettings bounds = this->context->settings;
  if (this->kind != RequestKind::kIdempotent) {
    // No other attempt can follow, so that waiting longer costs nothing.
    bounds.first_byte_timeout = this->Timeout();
  }
  const auto started = std::make_shared<UpstreamExchange>(
      this->context->parts.clock, &this->context->clients,
      &this->context->exchanges, bounds, this->shared_from_this());
  // Set before it starts: its end may come at any moment after.
  bool late = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->exchange = started;
    late = this->deadline_passed;
  }
  if (late) {
    started->Cancel();
  }
  started->Start(this->BuildRequest());
}

UpstreamRequest ServiceCall::BuildRequest() const {
  UpstreamRequest request;
  request.endpoint = this->route.endpoint;
  request.method = this->incoming->method;
  request.path_and_query =
      "/services/" + this->service.meta.name.value + this->path_and_query;
  for (const HttpHeader& header : this->incoming->headers) {
    if (IsForwardedRequestHeader(header.name)) {
      request.headers.push_back(header);
    }
  }
  request.headers.push_back(
      {kRequestIdHeader, this->incoming->options.request.value});
  request.headers.push_back({kAttemptIdHeader, this->attempt.value});
  request.content_type =
      FindHeader(this->incoming->headers, kContentTypeHeader);
  request.body = this->incoming->body;
  request.fresh_connection = this->kind != RequestKind::kIdempotent;
  return request;
}

void ServiceCall::OnHead(const UpstreamAnswerHead& answer_head) {
  this->head = answer_head;
  this->incoming->NoteAnswer(answer_head.framing);
  this->head_at = this->context->parts.clock->Now();
  const std::string answered_request =
      FindHeader(answer_head.headers, kRequestIdHeader);
  const std::string answered_attempt =
      FindHeader(answer_head.headers, kAttemptIdHeader);
  if (answered_request == this->incoming->options.request.value &&
      answered_attempt == this->attempt.value) {
    return;
  }
  this->context->metrics.foreign_answers.Add();
  LogWarning("answer_dropped", {{"request", this->incoming->options.request},
                                {"attempt", this->attempt},
                                {"answer_request", answered_request},
                                {"answer_attempt", answered_attempt},
                                {"backend", this->route.backend}});
  this->rejected = "the answer belongs to another attempt";
}

bool ServiceCall::OnBody(std::string_view bytes) {
  if (!this->rejected.empty()) {
    return true;
  }
  const auto limit =
      static_cast<std::size_t>(this->context->settings.max_answer_bytes);
  if (this->body.size() + bytes.size() > limit) {
    this->rejected = "the answer is longer than max-answer-bytes";
    this->body.clear();
    return true;
  }
  this->body.append(bytes);
  return true;
}

void ServiceCall::OnEnd(const ExchangeEnd& ended) {
  const ExchangeEnd end = this->CheckAnswer(ended);
  this->FinishRoute(end);
  const AttemptVerdict verdict = this->truth.Record(end.point);
  if (end.point == ExchangePoint::kWholeAnswer) {
    this->Complete();
    return;
  }
  LogWarning("attempt_failed",
             {{"request", this->incoming->options.request},
              {"attempt", this->attempt},
              {"backend", this->route.backend},
              {"point", ToString(end.point)},
              {"answer_framing", ToString(this->head.framing)},
              {"timed_out", end.timed_out},
              {"detail", end.detail}});
  if (this->MayTryAgain(verdict, end)) {
    this->excluded.push_back(this->route.backend);
    this->context->metrics.retries.Add();
    this->TryAttempt();
    return;
  }
  this->GiveUp(this->DescribeFailure());
}

ExchangeEnd ServiceCall::CheckAnswer(const ExchangeEnd& ended) {
  ExchangeEnd end = ended;
  if (!this->rejected.empty()) {
    end.detail = this->rejected;
    end.point = ExchangePoint::kSent;
  }
  return end;
}

void ServiceCall::FinishRoute(const ExchangeEnd& end) {
  AttemptResult result = AttemptResult::kFailed;
  if (end.point == ExchangePoint::kWholeAnswer) {
    result = AttemptResult::kAnswered;
  } else if (end.timed_out || this->DeadlinePassed()) {
    result = AttemptResult::kTimedOut;
    this->context->metrics.silent_connections.Add();
  } else if (end.point == ExchangePoint::kNotSent) {
    result = AttemptResult::kRefused;
  }
  const MonotonicTime answered_at = this->head.status == 0
                                        ? this->context->parts.clock->Now()
                                        : this->head_at;
  this->context->parts.router->Finish(this->route, result,
                                      answered_at - this->attempt_started_at);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->exchange = nullptr;
}

bool ServiceCall::MayTryAgain(const AttemptVerdict& verdict,
                              const ExchangeEnd& end) {
  if (!verdict.may_try_again || this->attempts >= kMaxAttempts ||
      end.cancelled) {
    return false;
  }
  // A refusal cost the backend server next to nothing.
  return end.point <= ExchangePoint::kRefused ||
         this->context->parts.retry_budget->TryTakeRetry();
}

void ServiceCall::Complete() {
  this->context->parts.clock->Cancel(this->deadline_timer);
  WholeReply reply;
  reply.status = this->head.status;
  reply.content_type = FindHeader(this->head.headers, kContentTypeHeader);
  for (const HttpHeader& header : this->head.headers) {
    if (IsForwardedAnswerHeader(header.name)) {
      reply.headers.push_back(header);
    }
  }
  this->SettleClaim(RequestOutcome::kCompleted);
  reply.body = std::move(this->body);
  this->incoming->Reply(RequestOutcome::kCompleted, std::move(reply));
  this->EndAdmission();
}

void ServiceCall::GiveUp(const Error& error) {
  this->context->parts.clock->Cancel(this->deadline_timer);
  const RequestOutcome outcome = this->truth.Outcome();
  this->SettleClaim(outcome);
  this->incoming->Refuse(outcome, error);
  this->EndAdmission();
}

void ServiceCall::SettleClaim(RequestOutcome outcome) {
  if (!std::exchange(this->claim_owned, false)) {
    return;
  }
  ClaimSettlement settlement;
  settlement.outcome = outcome;
  if (outcome == RequestOutcome::kCompleted) {
    settlement.answer.status = this->head.status;
    settlement.answer.content_type =
        FindHeader(this->head.headers, kContentTypeHeader);
    settlement.answer.body_dropped = this->body.size() > kMaxStoredBodyBytes;
    if (!settlement.answer.body_dropped) {
      settlement.answer.body = this->body;
    }
  }
  this->context->parts.idempotency->Settle(this->claim_key, settlement);
}

void ServiceCall::HandleDeadline() {
  std::shared_ptr<UpstreamExchange> running;
  bool waiting = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->deadline_passed = true;
    running = this->exchange;
    waiting = !this->admitted;
  }
  if (waiting) {
    this->context->parts.admission->CancelWaiting(this->admission.request);
  }
  if (running) {
    running->Cancel();
  }
}

bool ServiceCall::DeadlinePassed() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->deadline_passed;
}

Error ServiceCall::DescribeFailure() const {
  if (this->context->stopping) {
    return MakeError(ErrorCode::kUnavailable, "this entry VM stops");
  }
  if (this->DeadlinePassed()) {
    return MakeError(ErrorCode::kTimeout,
                     "the request's deadline passed before its answer was "
                     "whole");
  }
  const bool not_run = this->truth.Outcome() == RequestOutcome::kNotRun;
  return MakeError(not_run ? ErrorCode::kUnavailable : ErrorCode::kUnknown,
                   "no backend server gave a whole answer in " +
                       std::to_string(this->attempts) + " attempts");
}

void ServiceCall::EndAdmission() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!std::exchange(this->admitted, false)) {
      return;
    }
  }
  this->context->parts.admission->Complete(this->admission, 1.0);
}

Duration ServiceCall::Timeout() const {
  const Duration asked = this->incoming->options.timeout;
  return asked > Duration::zero()
             ? asked
             : std::chrono::milliseconds(this->service.body.timeout_ms);
}

}  // namespace kumquatcart
