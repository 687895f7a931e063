#include "gateway/model_call.h"

#include <utility>

#include "base/base_constants.h"
#include "base/logging.h"
#include "gateway/gateway_constants.h"

namespace kumquatcart {

ModelCall::ModelCall(std::shared_ptr<IncomingRequest> incoming,
                     CompletionRequest request,
                     Configured<ModelService> service)
    : incoming(std::move(incoming)),
      context(this->incoming->context),
      request(std::move(request)),
      service(std::move(service)),
      collects_events(this->request.stream && !this->incoming->AcceptsChunks()),
      format(this->request,
             this->incoming->options.request,
             ToUnixMillis(this->context->parts.clock->WallNow()) /
                 kMillisPerSecond),
      truth(RequestKind::kIdempotent) {}

void ModelCall::Start() {
  const std::shared_ptr<ModelCall> self = this->shared_from_this();
  this->admission.request = MakeId<RequestId>();
  this->admission.organisation = this->incoming->caller.organisation;
  this->admission.service = this->request.service;
  this->admission.priority = this->incoming->options.priority;
  this->admission.deadline = this->incoming->arrived_at + this->Timeout();
  this->admission.expected_cost = this->request.max_tokens;
  this->deadline_timer = this->context->parts.clock->CallAfter(
      this->Timeout(), [weak = this->weak_from_this()] {
        if (const auto call = weak.lock()) {
          call->StopForCause(StopCause::kDeadline);
        }
      });
  this->context->parts.retry_budget->RecordFirstAttempt();
  this->context->parts.admission->Submit(
      this->admission,
      [self](const Status& admitted) { self->HandleAdmission(admitted); });
}

void ModelCall::HandleAdmission(const Status& admission) {
  if (!admission.has_value()) {
    const bool stopped = admission.error().code == ErrorCode::kCancelled;
    this->GiveUp(stopped ? this->DescribeStop() : admission.error());
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->admitted = true;
  }
  this->TryAttempt();
}

void ModelCall::TryAttempt() {
  Result<Route> chosen = this->ChooseRoute();
  if (!chosen.has_value()) {
    this->GiveUp(chosen.error());
    return;
  }
  this->route = std::move(chosen.value());
  this->StartAttempt();
}

Result<Route> ModelCall::ChooseRoute() {
  RouteQuery query;
  query.service = this->request.service;
  query.prompt = this->request.prompt;
  query.priority = this->incoming->options.priority;
  query.excluded = this->excluded;
  Result<Route> chosen = this->context->parts.router->Choose(query);
  if (chosen.has_value() || this->excluded.empty()) {
    return chosen;
  }
  // Nothing else is left: a group whose connection broke may still be whole.
  query.excluded.clear();
  return this->context->parts.router->Choose(query);
}

void ModelCall::StartAttempt() {
  ++this->attempts;
  this->attempt = MakeId<AttemptId>();
  this->attempt_started_at = this->context->parts.clock->Now();
  this->has_first_chunk = false;
  this->answer_framing = ResponseFraming::kNone;
  this->sequencer.BeginAttempt(this->attempt);
  this->incoming->NoteAttempt(this->attempt, this->route.group);
  GenerateRequest generate;
  generate.attempt = this->attempt;
  generate.request = this->incoming->options.request;
  generate.group = this->route.group;
  generate.epoch = this->route.epoch;
  generate.prompt = this->request.prompt;
  generate.max_tokens = this->request.max_tokens;
  generate.resume_from = this->sequencer.NextIndex();
  generate.priority = this->incoming->options.priority;
  if (generate.resume_from > 0) {
    this->context->metrics.resumed_streams.Add();
  }
  const std::shared_ptr<UpstreamExchange> started =
      EngineAttempt::Make(this->context, this->shared_from_this());
  // Set before it starts: its end may come at any moment after.
  bool stopped = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->exchange = started;
    stopped = this->stop_cause != StopCause::kNone;
  }
  if (stopped) {
    started->Cancel();
  }
  started->Start(EngineAttempt::BuildRequest(this->route.endpoint, generate));
}

void ModelCall::OnAnswer(ResponseFraming framing) {
  this->answer_framing = framing;
  this->incoming->NoteAnswer(framing);
}

ChunkReaction ModelCall::OnChunk(const GenerateChunk& chunk) {
  if (this->complete) {
    this->context->metrics.duplicate_answers.Add();
    return ChunkReaction::kContinue;
  }
  std::vector<std::string> tokens;
  const ChunkVerdict verdict = this->sequencer.Accept(chunk, &tokens);
  if (verdict != ChunkVerdict::kAccepted) {
    this->CountWrongChunk(verdict, chunk);
    return verdict == ChunkVerdict::kInvalid ? ChunkReaction::kStop
                                             : ChunkReaction::kContinue;
  }
  ChunkReaction reaction = ChunkReaction::kContinue;
  if (!tokens.empty()) {
    this->DeliverTokens(tokens);
    if (this->request.stream) {
      std::string events;
      for (const std::string& token : tokens) {
        this->format.AppendToken(token, &events);
      }
      reaction = this->PushToCaller(events);
    }
  }
  if (this->sequencer.IsWhole()) {
    this->Complete();
    return ChunkReaction::kContinue;
  }
  return reaction;
}

void ModelCall::DeliverTokens(const std::vector<std::string>& tokens) {
  const MonotonicTime now = this->context->parts.clock->Now();
  if (!std::exchange(this->has_first_chunk, true)) {
    this->first_chunk_at = now;
  }
  const bool first_of_call =
      this->sequencer.NextIndex() == static_cast<int>(tokens.size());
  if (first_of_call) {
    this->context->metrics.first_token.Record(now - this->incoming->arrived_at);
  }
  this->incoming->NoteToken(this->sequencer.NextIndex() - 1);
  this->context->metrics.tokens_relayed.Add(tokens.size());
  if (this->request.stream) {
    return;
  }
  for (const std::string& token : tokens) {
    this->text += token;
  }
}

ChunkReaction ModelCall::PushToCaller(const std::string& events) {
  if (this->collects_events) {
    this->text += events;
    return ChunkReaction::kContinue;
  }
  this->BeginStreamOnce();
  const std::weak_ptr<ModelCall> weak = this->weak_from_this();
  const bool has_room = this->stream->Push(events, [weak] {
    if (const auto call = weak.lock()) {
      call->ResumeAttempt();
    }
  });
  if (has_room) {
    return ChunkReaction::kContinue;
  }
  this->context->metrics.RecordBuffered(this->stream->BufferedBytes());
  return ChunkReaction::kHold;
}

void ModelCall::ResumeAttempt() {
  std::shared_ptr<UpstreamExchange> running;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    running = this->exchange;
  }
  if (running) {
    running->ResumeBody();
  }
}

void ModelCall::BeginStreamOnce() {
  if (this->stream) {
    return;
  }
  this->stream = std::make_shared<RelayBuffer>(
      static_cast<std::size_t>(this->context->settings.max_buffered_bytes));
  this->incoming->BeginStream(this->stream, [weak = this->weak_from_this()] {
    if (const auto call = weak.lock()) {
      call->StopForCause(StopCause::kCallerGone);
    }
  });
}

void ModelCall::CountWrongChunk(ChunkVerdict verdict,
                                const GenerateChunk& chunk) {
  RequestMetrics& metrics = this->context->metrics;
  switch (verdict) {
    case ChunkVerdict::kAccepted:
      return;
    case ChunkVerdict::kHeld:
      metrics.unordered_answers.Add();
      return;
    case ChunkVerdict::kDuplicate:
      metrics.duplicate_answers.Add();
      break;
    case ChunkVerdict::kForeign:
      metrics.foreign_answers.Add();
      break;
    case ChunkVerdict::kInvalid:
      break;
  }
  LogWarning("chunk_dropped", {{"request", this->incoming->options.request},
                               {"attempt", this->attempt},
                               {"chunk_attempt", chunk.attempt},
                               {"index", chunk.index},
                               {"group", this->route.group}});
}

void ModelCall::Complete() {
  this->complete = true;
  this->truth.Record(ExchangePoint::kWholeAnswer);
  this->context->parts.clock->Cancel(this->deadline_timer);
  if (this->request.stream && !this->collects_events) {
    this->BeginStreamOnce();
    this->incoming->End(RequestOutcome::kCompleted, {});
    this->stream->Push(this->EndingEvents(), [] {});
    this->stream->End();
  } else {
    this->incoming->Reply(RequestOutcome::kCompleted, this->MakeWholeReply());
  }
  this->EndAdmission();
}

std::string ModelCall::EndingEvents() const {
  std::string ending = this->format.FinishEvent(this->sequencer.NextIndex(),
                                                this->request.max_tokens);
  ending += kStreamEndEvent;
  return ending;
}

WholeReply ModelCall::MakeWholeReply() {
  WholeReply reply;
  if (this->collects_events) {
    reply.content_type = kEventStreamType;
    reply.body = std::move(this->text) + this->EndingEvents();
  } else {
    reply.body = this->format.WholeBody(this->text, this->sequencer.NextIndex(),
                                        this->request.max_tokens);
  }
  return reply;
}

void ModelCall::OnAttemptEnd(const ExchangeEnd& end) {
  const MonotonicTime now = this->context->parts.clock->Now();
  const MonotonicTime answered_at =
      this->has_first_chunk ? this->first_chunk_at : now;
  AttemptResult result = AttemptResult::kFailed;
  if (this->complete) {
    result = AttemptResult::kAnswered;
  } else if (end.timed_out) {
    result = AttemptResult::kTimedOut;
  } else if (end.cancelled) {
    result = AttemptResult::kCancelled;
  } else if (end.point <= ExchangePoint::kRefused) {
    result = AttemptResult::kRefused;
  }
  this->context->parts.router->Finish(this->route, result,
                                      answered_at - this->attempt_started_at);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->exchange = nullptr;
  }
  if (this->complete) {
    return;
  }
  if (end.timed_out) {
    this->context->metrics.silent_connections.Add();
  }
  LogWarning("attempt_failed",
             {{"request", this->incoming->options.request},
              {"attempt", this->attempt},
              {"group", this->route.group},
              {"point", ToString(end.point)},
              {"answer_framing", ToString(this->answer_framing)},
              {"last_token", this->sequencer.NextIndex() - 1},
              {"timed_out", end.timed_out},
              {"detail", end.detail}});
  // A transport that ended well without the announced last chunk broke off.
  const ExchangePoint point = end.point == ExchangePoint::kWholeAnswer
                                  ? ExchangePoint::kAnswering
                                  : end.point;
  const AttemptVerdict verdict = this->truth.Record(point);
  if (this->MayTryAgain(verdict, end)) {
    this->excluded.push_back(this->route.backend);
    this->context->metrics.retries.Add();
    this->TryAttempt();
    return;
  }
  this->GiveUp(this->DescribeStop());
}

bool ModelCall::MayTryAgain(const AttemptVerdict& verdict,
                            const ExchangeEnd& end) {
  if (this->ReadStopCause() != StopCause::kNone || end.cancelled) {
    return false;
  }
  if (!verdict.may_try_again || this->attempts >= kMaxAttempts) {
    return false;
  }
  // A refusal cost the backend server next to nothing.
  return end.point <= ExchangePoint::kRefused ||
         this->context->parts.retry_budget->TryTakeRetry();
}

void ModelCall::GiveUp(const Error& error) {
  this->context->parts.clock->Cancel(this->deadline_timer);
  const StopCause cause = this->ReadStopCause();
  const RequestOutcome outcome = this->truth.Outcome();
  if (cause == StopCause::kCallerGone) {
    if (this->stream) {
      this->stream->Abort();
    }
    this->incoming->EndGone();
  } else if (this->stream) {
    this->incoming->End(outcome, error.message);
    this->stream->Push(
        FormatErrorEvent(error, outcome, this->incoming->options.request),
        [] {});
    this->stream->End();
  } else {
    this->incoming->Refuse(outcome, error);
  }
  this->EndAdmission();
}

void ModelCall::StopForCause(StopCause cause) {
  std::shared_ptr<UpstreamExchange> running;
  bool waiting = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->stop_cause != StopCause::kNone) {
      return;
    }
    this->stop_cause = cause;
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

ModelCall::StopCause ModelCall::ReadStopCause() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->stop_cause;
}

Error ModelCall::DescribeStop() const {
  switch (this->ReadStopCause()) {
    case StopCause::kDeadline:
      return MakeError(ErrorCode::kTimeout,
                       "the request's deadline passed before its answer was "
                       "whole");
    case StopCause::kCallerGone:
      return MakeError(ErrorCode::kCancelled, "the caller went away");
    case StopCause::kNone:
      break;
  }
  if (this->context->stopping) {
    return MakeError(ErrorCode::kUnavailable, "this entry VM stops");
  }
  const bool not_run = this->truth.Outcome() == RequestOutcome::kNotRun;
  return MakeError(not_run ? ErrorCode::kUnavailable : ErrorCode::kUnknown,
                   "no backend server gave a whole answer in " +
                       std::to_string(this->attempts) + " attempts");
}

void ModelCall::EndAdmission() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!std::exchange(this->admitted, false)) {
      return;
    }
  }
  const int tokens = this->sequencer.NextIndex();
  this->context->parts.admission->Complete(this->admission, tokens + 1.0);
}

Duration ModelCall::Timeout() const {
  const Duration asked = this->incoming->options.timeout;
  return asked > Duration::zero() ? asked
                                  : this->context->settings.request_timeout;
}

}  // namespace kumquatcart
