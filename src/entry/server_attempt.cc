#include "entry/server_attempt.h"

#include <algorithm>

#include "base/logging.h"
#include "base/scope_guard.h"
#include "entry/entry_constants.h"
#include "entry/group_stall_detector.h"
#include "entry/prompt_guard.h"
#include "entry/server_gate.h"
#include "entry/server_limiter.h"
#include "model/socket_address.h"
#include "net/failure_boundary.h"
#include "net/http_status.h"

namespace kumquatcart {

namespace {

// Statuses that imply to a caller that its request was not executed.
bool ImpliesNotRun(int status) {
  return status == kHttpTooManyRequests || status == kHttpServiceUnavailable ||
         status == kHttpRequestTimeout || status == kHttpMisdirectedRequest;
}

}  // namespace

const char* ToString(AttemptOutcome outcome) {
  constexpr const char* kNames[] = {"delivered",    "failure",     "not_run",
                                    "may_have_run", "caller_gone", "time_up"};
  return kNames[static_cast<int>(outcome)];
}

ServerAttempt::ServerAttempt(AttemptJob* job, ServerSlot* slot)
    : job(job),
      slot(slot),
      buffer_use(&job->context->buffered_answer_bytes,
                 job->context->max_buffered_answer_bytes) {
  this->response.emplace(job->request->method == "HEAD");
}

AttemptOutcome ServerAttempt::SetOutcome(AttemptOutcome outcome,
                                         std::string reason) {
  this->reason = std::move(reason);
  return outcome;
}

std::string ServerAttempt::AnswerFraming() const {
  return this->head_read ? ToString(this->response->Framing()) : "";
}

bool ServerAttempt::OpenConnection(Coroutine yield) {
  EntryContext& context = *this->job->context;
  const TcpEndpoint address = ToTcpEndpoint(this->slot->Address());
  if (this->job->route->repeatability != Repeatability::kAtMostOnce) {
    this->connection = context.pool->TakeIdle(address, kMaxReuseIdleTime);
    if (this->connection != nullptr) {
      this->is_reused = true;
      this->connection->SetWaiter(this->job->waiter);
      return true;
    }
  }
  this->connection = std::make_shared<TcpConnection>(context.loop);
  return this->connection->Connect(
      address,
      std::min(context.loop->Now() + kConnectTimeout, this->job->AnswerBy()),
      this->job->waiter, yield);
}

void ServerAttempt::SendRequest() {
  this->sent_under_limit =
      this->job->context->limiter->IsLimited(this->slot->ServerId());
  SendFacts facts;
  facts.server_id = this->slot->ServerId();
  facts.organisation = this->job->organisation;
  facts.remaining = this->job->deadline - this->job->context->loop->Now();
  facts.is_late = this->job->is_late;
  this->resumed_after = this->job->progress.LastEvent();
  facts.resume_after =
      this->job->progress.BeginAttempt(this->job->request->resume_after);
  this->is_resumption = facts.resume_after.has_value();
  this->sent_at = this->job->context->loop->Now();
  this->connection->Send(
      SerializeRequest(EncodeForServer(*this->job->request, facts)));
}

AttemptOutcome ServerAttempt::Run(Coroutine yield) {
  const ScopeGuard guard([this] {
    if (this->connection != nullptr) {
      this->connection->SetWaiter(nullptr);
      this->connection->Close();
    }
  });
  AttemptOutcome outcome = AttemptOutcome::kNotRun;
  return ContainFailure(this->job->context->loop, "server_attempt",
                        [&] { outcome = this->RunExchange(yield); })
             ? outcome
             : this->EndAfterFailure();
}

AttemptOutcome ServerAttempt::EndAfterFailure() {
  this->job->progress.NoteFailure();
  return this->SetOutcome(this->sent_at == MonotonicTime{}
                              ? AttemptOutcome::kNotRun
                              : AttemptOutcome::kMayHaveRun,
                          "the exchange could not be handled");
}

AttemptOutcome ServerAttempt::RunExchange(Coroutine yield) {
  ServerGate& gate = *this->job->context->gate;
  const bool was_limited = gate.IsLimited(this->slot->ServerId());
  if (!this->OpenConnection(yield)) {
    if (!this->slot->Group().empty()) {
      this->job->context->prober->ReportSuspected({this->slot->ServerId()});
    }
    return this->SetOutcome(AttemptOutcome::kNotRun, "connection failed");
  }
  // The caller may have left while the connection was opened, or while the
  // event loop was held up.
  if (this->job->caller->PollEnded()) {
    return this->SetOutcome(AttemptOutcome::kCallerGone,
                            "the caller disconnected");
  }
  // A backoff may have begun while the connection was opened.
  if (gate.HasBackoff(this->slot->ServerId())) {
    this->is_held_back = true;
    return this->SetOutcome(AttemptOutcome::kNotRun,
                            "the server takes no requests for a time");
  }
  // An order may have come since the slot was granted.
  if (this->job->context->view->IsEvacuated(this->slot->FailureDomain())) {
    this->is_held_back = true;
    return this->SetOutcome(AttemptOutcome::kNotRun,
                            "the failure domain is evacuated");
  }
  // So may the time in which the server is cold.
  if (!was_limited && gate.IsLimited(this->slot->ServerId()) &&
      !gate.TryPass(this->slot->ServerId(), /*is_first_try=*/true)) {
    this->is_held_back = true;
    return this->SetOutcome(AttemptOutcome::kNotRun,
                            "the server takes fewer requests for a time");
  }
  if (!this->job->may_send()) {
    this->is_held_back = true;
    return this->SetOutcome(AttemptOutcome::kNotRun,
                            "a part of the prompt is quarantined");
  }
  this->SendRequest();
  GroupStallDetector& watch = *this->job->context->stall_detector;
  const std::string& group = this->slot->Group();
  if (!group.empty()) {
    watch.Begin(group, this->slot->Epoch());
  }
  const ScopeGuard end_watch([this, &watch, &group] {
    if (!group.empty()) {
      watch.End(group, this->slot->Epoch());
    }
  });
  const AttemptOutcome outcome = this->Relay(yield);
  this->NoteAvailability();
  this->progress = this->JudgeProgress(outcome);
  return outcome;
}

void ServerAttempt::NoteAvailability() {
  this->was_server_leaving =
      this->was_server_leaving ||
      this->job->context->view->AvailabilityOf(this->slot->ServerId()) ==
          ServerAvailability::kLeaving;
}

bool ServerAttempt::OwesAnswer() const {
  if (this->connection->HasEnded()) {
    return false;
  }
  return this->head_read
             ? this->head.status == kHttpOk && this->head.is_signed &&
                   !this->AnswersOtherRequest()
             : this->connection->HasSentBytes();
}

void ServerAttempt::NoteStallOnce() {
  if (!this->has_stalled && this->OwesAnswer()) {
    this->has_stalled = true;
    this->job->note_stall(*this);
  }
}

AnswerProgress ServerAttempt::JudgeProgress(AttemptOutcome outcome) const {
  // A server may end before its head has left it.
  const bool may_be_answer =
      this->head_read ? this->head.status == kHttpOk && this->head.is_signed &&
                            !this->AnswersOtherRequest()
                      : outcome != AttemptOutcome::kNotRun;
  if (!may_be_answer) {
    return AnswerProgress::kUnknown;
  }
  switch (this->response->End()) {
    case ResponseEnd::kOpen:
      return AnswerProgress::kAbandoned;
    case ResponseEnd::kClosed:
    case ResponseEnd::kReset:
      return AnswerProgress::kCutShort;
    case ResponseEnd::kFramed:
      // A server that fails may still finish the framing.
      if (outcome == AttemptOutcome::kMayHaveRun) {
        return AnswerProgress::kCutShort;
      }
      // The rest of an answer may be shorter than what a server writes before
      // it ends.
      return outcome == AttemptOutcome::kDelivered && !this->is_resumption &&
                     (this->events_received > 0 || !this->IsStream())
                 ? AnswerProgress::kWhole
                 : AnswerProgress::kUnknown;
    default:
      return AnswerProgress::kUnknown;
  }
}

AttemptOutcome ServerAttempt::Relay(Coroutine yield) {
  for (;;) {
    const std::optional<AttemptOutcome> outcome = this->Step();
    if (outcome) {
      return *outcome;
    }
    const bool woken =
        this->job->waiter->WaitUntil(this->job->AnswerBy(), yield);
    if (!woken && this->job->context->loop->Now() >= this->job->AnswerBy()) {
      // Handles input that arrived just before the deadline.
      const std::optional<AttemptOutcome> last = this->Step();
      return last ? *last
                  : this->SetOutcome(AttemptOutcome::kDeadlineExceeded,
                                     "no complete answer before the deadline");
    }
  }
}

std::optional<AttemptOutcome> ServerAttempt::Step() {
  if (this->job->caller->HasEnded()) {
    return this->SetOutcome(AttemptOutcome::kCallerGone,
                            "the caller disconnected");
  }
  if (this->job->caller->UnsentBytes() > kMaxUnsentAnswerBytes) {
    return std::nullopt;  // Continues when the caller has read some.
  }
  const std::optional<AttemptOutcome> outcome = this->HandleInput();
  if (outcome) {
    return outcome;
  }
  if (this->slot->Group().empty()) {
    return std::nullopt;
  }
  this->NoteAvailability();
  if (this->job->context->view->CanFinishRequests(this->slot->Group(),
                                                  this->slot->Epoch())) {
    this->job->cancel_reservation();
    return std::nullopt;
  }
  this->NoteStallOnce();
  if (this->job->reserve_next() || !this->job->answer->HasBegun()) {
    return this->SetOutcome(AttemptOutcome::kMayHaveRun,
                            "the group lost a member");
  }
  // Without a slot elsewhere, an answer that has begun is not aborted for a
  // stall: the server may still resume it.
  return std::nullopt;
}

bool ServerAttempt::AnswersOtherRequest() const {
  // Servers may reject a request before they have read its id.
  if (this->head.not_run && this->head.request_id.empty()) {
    return false;
  }
  return this->head.request_id != this->job->request->id;
}

bool ServerAttempt::MayAnswerOtherRequest() const {
  return this->head.request_id.empty() &&
         (this->is_reused || this->skipped_answers > 0);
}

bool ServerAttempt::SkipOtherAnswer(ResponseState state) {
  this->skipped_bytes += this->response->TakeBody().size();
  if (state == ResponseState::kComplete) {
    ++this->skipped_answers;
    this->response.emplace(this->job->request->method == "HEAD");
    this->head_read = false;
  }
  return this->skipped_answers <= kMaxSkippedAnswers &&
         this->skipped_bytes <= kMaxSkippedBytes;
}

void ServerAttempt::ProcessServerState() {
  // Another server has the address now, or the answer belongs to another
  // request.
  if (this->head.status == kHttpMisdirectedRequest ||
      this->AnswersOtherRequest() || this->MayAnswerOtherRequest()) {
    return;
  }
  if (this->head.is_signed) {
    this->job->context->prompts->NoteAnswering(
        {this->slot->ServerId(), this->slot->StartedMs()});
  }
  this->NoteRateLimit();
  this->NoteBackoff();
  this->NoteLeaving();
}

void ServerAttempt::NoteLeaving() {
  const std::string& server = this->slot->ServerId();
  if (this->head.is_leaving &&
      this->job->context->view->SetLeaving(server, this->slot->StartedMs(),
                                           this->job->context->loop->Now())) {
    this->job->context->metrics->GetCounter("kumquatcart_servers_leaving_total")
        .Add();
    LogInfo("server_leaving", {{"id", this->job->request->id},
                               {"server", server},
                               {"started_ms", this->slot->StartedMs()},
                               {"source", "answer"}});
  }
}

void ServerAttempt::NoteBackoff() {
  ServerGate& gate = *this->job->context->gate;
  const ServerStart server{this->slot->ServerId(), this->slot->StartedMs()};
  if (this->head.has_invalid_backoff) {
    gate.HandleUnreadableBackoff(server.id, this->job->request->id);
  }
  if (!this->head.backoff) {
    if (!this->head.not_run) {
      gate.HandleAccepted(server.id);
    }
    return;
  }
  // Rejections bear no signature. One that another sender has made costs no
  // more than the time that it names.
  this->names_backoff = true;
  const BackendServer* known = this->job->context->view->FindServer(server.id);
  if (known == nullptr || known->started_ms == server.started_ms) {
    gate.HandleBackoff(server, *this->head.backoff, this->job->request->id);
  }
}

void ServerAttempt::NoteRateLimit() {
  const std::string& server = this->slot->ServerId();
  if (this->head.has_invalid_rate_limit) {
    LogWarning("server_limit_unreadable",
               {{"id", this->job->request->id}, {"server", server}});
    return;
  }
  // Only a signed answer is certain to come from the server itself.
  if (this->head.rate_limit || this->head.is_signed) {
    this->job->context->limiter->NoteAnswer(server, this->head.rate_limit,
                                            this->sent_under_limit,
                                            this->job->request->id);
  }
}

std::optional<AttemptOutcome> ServerAttempt::HandleInput() {
  for (;;) {
    const ResponseState state =
        this->response->ParseAvailable(this->connection.get());
    if (this->response->HasHead() && !this->head_read) {
      this->head = DecodeAnswerHead(*this->response);
      this->head_read = true;
      this->ProcessServerState();
    }
    if (state == ResponseState::kParseFailed) {
      std::string stop_reason;
      if (this->head_read && this->IsStream()) {
        stop_reason = this->ForwardEvents(this->response->TakeBody());
      }
      if (stop_reason.empty() &&
          this->response->End() == ResponseEnd::kMalformed) {
        stop_reason = "an answer that is not valid HTTP";
      }
      if (stop_reason.empty()) {
        stop_reason = this->head_read ? "connection closed during the answer"
                                      : "connection closed before an answer";
      }
      return this->SetOutcome(this->connection->HasSentBytes()
                                  ? AttemptOutcome::kMayHaveRun
                                  : AttemptOutcome::kNotRun,
                              std::move(stop_reason));
    }
    if (!this->head_read) {
      return std::nullopt;
    }
    if (this->AnswersOtherRequest()) {
      // A late or duplicate answer; the answer to this request follows it.
      if (!this->SkipOtherAnswer(state)) {
        return this->SetOutcome(AttemptOutcome::kMayHaveRun,
                                "too many answers to other requests");
      }
      if (state != ResponseState::kComplete) {
        return std::nullopt;
      }
      continue;
    }
    if (this->MayAnswerOtherRequest()) {
      return this->SetOutcome(AttemptOutcome::kMayHaveRun,
                              "a rejection that may be of another request");
    }
    if (this->IsStream()) {
      return this->HandleStreamInput(state);
    }
    if (!this->buffer_use.Set(this->response->BufferedBodyBytes())) {
      return this->SetOutcome(AttemptOutcome::kMayHaveRun,
                              "the answer exceeds the size limit");
    }
    if (state != ResponseState::kComplete) {
      return std::nullopt;
    }
    return this->HandleWholeAnswer();
  }
}

bool ServerAttempt::IsStream() const {
  return this->job->route->streaming && this->head.status == kHttpOk &&
         this->head.is_signed && !this->head.is_encoded &&
         this->head.is_event_stream && !this->AnswersOtherRequest();
}

void ServerAttempt::BeginStreamOnce() {
  if (!this->job->answer->HasBegun()) {
    this->job->answer->BeginStream(this->head.status,
                                   ForwardedAnswerFields(*this->response));
  }
}

void ServerAttempt::NoteFirstEvent() {
  if (!this->has_forwarded_events && !this->slot->Group().empty()) {
    this->job->context->first_event_times.Record(
        this->job->request->model,
        this->job->context->loop->Now() - this->sent_at);
  }
  this->has_forwarded_events = true;
}

std::string ServerAttempt::ForwardEvents(const std::string& bytes) {
  StreamProgress& progress = this->job->progress;
  std::string passed;
  std::string stop_reason;
  for (const StreamEvent& event : this->splitter.Feed(bytes)) {
    const EventVerdict verdict = progress.Accept(event);
    if (verdict == EventVerdict::kGap) {
      stop_reason = "the answer leaves out events";
      break;
    }
    if (verdict == EventVerdict::kForeign) {
      stop_reason = "the answer holds what is no event of the stream";
      break;
    }
    this->NoteEvent();
    if (verdict == EventVerdict::kForward) {
      this->LogResumptionOnce(event);
      passed += event.text;
    }
  }
  if (!passed.empty()) {
    this->ForwardText(passed);
  }
  return stop_reason;
}

void ServerAttempt::NoteEvent() {
  const std::optional<AnswerExtent> reached = ExtentOf(++this->events_received);
  if (reached != this->extent) {
    this->extent = reached;
    this->job->context->prompts->NoteSound(*this->job->request, *reached);
  }
}

void ServerAttempt::LogResumptionOnce(const StreamEvent& event) {
  if (event.id && this->resumed_after) {
    LogInfo("stream_resumed", {{"id", this->job->request->id},
                               {"server", this->slot->ServerId()},
                               {"last_event", *this->resumed_after},
                               {"next_event", *event.id}});
    this->resumed_after.reset();
  }
}

void ServerAttempt::ForwardText(const std::string& text) {
  this->BeginStreamOnce();
  this->slot->NotePrefillDone();
  this->NoteFirstEvent();
  this->job->progress.NoteForwarded(this->job->context->loop->Now());
  this->job->answer->SendPart(text);
  this->job->context->stall_detector->NoteProgress(this->slot->Group(),
                                                   this->slot->Epoch());
}

std::optional<AttemptOutcome> ServerAttempt::HandleStreamInput(
    ResponseState state) {
  this->BeginStreamOnce();
  std::string stop_reason = this->ForwardEvents(this->response->TakeBody());
  if (!stop_reason.empty()) {
    return this->SetOutcome(AttemptOutcome::kMayHaveRun,
                            std::move(stop_reason));
  }
  if (!this->buffer_use.Set(this->splitter.Partial().size())) {
    return this->SetOutcome(AttemptOutcome::kMayHaveRun,
                            "an event exceeds the size limit");
  }
  if (state != ResponseState::kComplete) {
    return std::nullopt;
  }
  if (!this->splitter.Partial().empty()) {
    // A server that fails may still finish the framing of its answer.
    return this->SetOutcome(AttemptOutcome::kMayHaveRun,
                            "the answer ended within an event");
  }
  if (this->response->Framing() == ResponseFraming::kConnection &&
      !this->job->progress.HasNewEvents()) {
    // Nothing tells an empty stream from a server that failed after the head.
    return this->SetOutcome(AttemptOutcome::kMayHaveRun,
                            "connection closed before the first event");
  }
  if (this->job->progress.IsBehind()) {
    return this->SetOutcome(AttemptOutcome::kMayHaveRun,
                            "the answer ended before the caller's last event");
  }
  this->job->answer->EndStream();
  this->FinishConnection();
  return this->SetOutcome(AttemptOutcome::kDelivered, "complete stream");
}

std::optional<AttemptOutcome> ServerAttempt::HandleWholeAnswer() {
  const int status = this->head.status;
  if (this->head.not_run) {
    if (!this->connection->ReadPending()) {
      this->FinishConnection();
    } else if (this->MayHaveRunAfterRejection()) {
      return this->SetOutcome(AttemptOutcome::kMayHaveRun,
                              "an answer behind a rejection");
    }
    this->suspected = this->head.suspected_server;
    return this->SetOutcome(AttemptOutcome::kNotRun,
                            "declined with " + std::to_string(status));
  }
  if (this->head.is_encoded || ImpliesNotRun(status) ||
      (status / 100 == 2 && !this->head.is_signed)) {
    return this->SetOutcome(AttemptOutcome::kMayHaveRun,
                            "unusable answer " + std::to_string(status));
  }
  BufferedAnswer answer{status, ForwardedAnswerFields(*this->response),
                        this->response->TakeBody()};
  this->FinishConnection();
  if (status >= kHttpInternalServerError || this->job->answer->HasBegun()) {
    this->failure = std::move(answer);
    return this->SetOutcome(AttemptOutcome::kFailure,
                            "error answer " + std::to_string(status));
  }
  this->job->answer->SendWhole(answer.status, std::move(answer.headers),
                               answer.body);
  return this->SetOutcome(AttemptOutcome::kDelivered, "complete answer");
}

bool ServerAttempt::MayHaveRunAfterRejection() {
  for (int i = 0; i < kMaxSkippedAnswers && this->connection->ReadPending();
       ++i) {
    ResponseParser next(this->job->request->method == "HEAD");
    const ResponseState state = next.ParseAvailable(this->connection.get());
    if (!next.HasHead()) {
      return state != ResponseState::kParseFailed;
    }
    const ServerAnswerHead other = DecodeAnswerHead(next);
    const bool names_other =
        !other.request_id.empty() && other.request_id != this->job->request->id;
    if (!other.not_run && !names_other) {
      return true;
    }
    if (state != ResponseState::kComplete) {
      return false;
    }
  }
  return false;
}

void ServerAttempt::FinishConnection() {
  if (!this->response->IsKeepAlive() || this->connection->UnsentBytes() > 0 ||
      !this->connection->Input().empty() || this->connection->HasEnded() ||
      this->head.idle_limit <= Duration{0}) {
    return;
  }
  this->job->context->pool->ReturnConnection(
      ToTcpEndpoint(this->slot->Address()), std::move(this->connection),
      this->head.idle_limit);
  this->connection = nullptr;
}

}  // namespace kumquatcart
