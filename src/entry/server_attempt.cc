#include "entry/server_attempt.h"

#include <algorithm>

#include "base/scope_guard.h"
#include "entry/entry_constants.h"
#include "entry/group_watch.h"
#include "model/socket_address.h"
#include "net/http_status.h"

namespace kumquatcart {

namespace {

// Statuses that imply to a caller that its request was not executed.
bool PromisesNotRun(int status) {
  return status == kHttpTooManyRequests || status == kHttpUnavailable ||
         status == kHttpRequestTimeout || status == kHttpMisdirected;
}

}  // namespace

void StreamProgress::NoteEvents(MonotonicTime now) {
  if (this->has_events) {
    this->longest_pause =
        std::max(this->longest_pause, now - this->last_event_at);
  } else {
    this->has_events = true;
    this->first_event_at = now;
  }
  this->last_event_at = now;
}

const char* ToString(AttemptEnd end) {
  constexpr const char* kNames[] = {"delivered",    "failure",     "not_run",
                                    "may_have_run", "caller_gone", "time_up"};
  return kNames[static_cast<int>(end)];
}

ServerAttempt::ServerAttempt(AttemptJob* job, Placement* placement)
    : job(job), placement(placement) {
  this->response.emplace(job->request->method == "HEAD");
}

AttemptEnd ServerAttempt::Done(AttemptEnd end, std::string reason) {
  this->reason = std::move(reason);
  return end;
}

bool ServerAttempt::OpenConnection(Coroutine yield) {
  EntryContext& context = *this->job->context;
  const TcpEndpoint address = ToTcpEndpoint(this->placement->Address());
  if (this->job->route->repeatability != Repeatability::kAtMostOnce) {
    this->connection = context.pool->TakeIdle(address, kReuseIdle);
    if (this->connection != nullptr) {
      this->connection->Attach(this->job->waiter);
      return true;
    }
  }
  this->connection = std::make_shared<TcpConnection>(context.loop);
  return this->connection->Connect(
      address, std::min(context.loop->Now() + kConnectTimeout, this->job->end),
      this->job->waiter, yield);
}

void ServerAttempt::SendRequest() {
  SendFacts facts;
  facts.server_id = this->placement->ServerId();
  facts.organisation = this->job->organisation;
  facts.remaining = this->job->end - this->job->context->loop->Now();
  facts.is_late = this->job->is_late;
  facts.resume_after = this->job->progress.has_events
                           ? this->job->progress.last_event
                           : this->job->request->resume_after;
  this->connection->Send(
      SerializeRequest(EncodeForServer(*this->job->request, facts)));
}

AttemptEnd ServerAttempt::Run(Coroutine yield) {
  const ScopeGuard guard([this] {
    if (this->connection != nullptr) {
      this->connection->Attach(nullptr);
      this->connection->Close();
    }
  });
  if (!this->OpenConnection(yield)) {
    if (!this->placement->Group().empty()) {
      this->job->context->prober->Doubt({this->placement->ServerId()});
    }
    return this->Done(AttemptEnd::kNotRun, "connection failed");
  }
  this->SendRequest();
  GroupWatch& watch = *this->job->context->group_watch;
  const std::string& group = this->placement->Group();
  if (!group.empty()) {
    watch.Begin(group);
  }
  const AttemptEnd end = this->Relay(yield);
  if (!group.empty()) {
    watch.End(group);
  }
  return end;
}

AttemptEnd ServerAttempt::Relay(Coroutine yield) {
  for (;;) {
    const std::optional<AttemptEnd> end = this->Step();
    if (end) {
      return *end;
    }
    const bool woken = this->job->waiter->WaitUntil(this->job->end, yield);
    if (!woken && this->job->context->loop->Now() >= this->job->end) {
      // Handles input that arrived just before the deadline.
      const std::optional<AttemptEnd> last = this->Step();
      return last ? *last
                  : this->Done(AttemptEnd::kTimeUp,
                               "no complete answer before the deadline");
    }
  }
}

std::optional<AttemptEnd> ServerAttempt::Step() {
  if (this->job->caller->HasEnded()) {
    return this->Done(AttemptEnd::kCallerGone, "the caller disconnected");
  }
  if (this->job->caller->Unsent() > kAnswerBacklogBytes) {
    return std::nullopt;  // Continues when the caller has read some.
  }
  const std::optional<AttemptEnd> end = this->HandleInput();
  if (end) {
    return end;
  }
  if (this->placement->Group().empty()) {
    return std::nullopt;
  }
  if (this->job->context->view->CanFinish(this->placement->Group(),
                                          this->placement->Epoch())) {
    this->job->drop_reserved();
  } else if (this->job->reserve_next() || !this->job->answer->HasBegun()) {
    return this->Done(AttemptEnd::kMayHaveRun, "the group lost a member");
  }
  // Without a slot elsewhere, an answer that has begun is not aborted for a
  // stall: the server may still resume it.
  return std::nullopt;
}

bool ServerAttempt::IsStray() const {
  return this->head.request_id != this->job->request->id;
}

std::optional<AttemptEnd> ServerAttempt::HandleInput() {
  for (;;) {
    const ResponseState state = this->response->Poll(this->connection.get());
    if (this->response->HasHead() && !this->head_read) {
      this->head = DecodeAnswerHead(*this->response);
      this->head_read = true;
    }
    if (state == ResponseState::kBroken) {
      return this->Done(this->connection->HasSentAny() ? AttemptEnd::kMayHaveRun
                                                       : AttemptEnd::kNotRun,
                        this->head_read ? "connection closed during the answer"
                                        : "connection closed before an answer");
    }
    if (!this->head_read) {
      return std::nullopt;
    }
    if (!this->head.not_run && this->IsStray()) {
      // A late or duplicate answer to another request; skips it. The answer to
      // this request follows it.
      this->response->TakeBody();
      if (state != ResponseState::kComplete) {
        return std::nullopt;
      }
      this->response.emplace(this->job->request->method == "HEAD");
      this->head_read = false;
      continue;
    }
    if (this->job->route->streaming && this->head.status == kHttpOk &&
        this->head.is_signed && !this->head.is_encoded) {
      return this->HandleStreamInput(state);
    }
    if (this->response->HeldBytes() > kWholeAnswerBytes) {
      return this->Done(AttemptEnd::kMayHaveRun,
                        "the answer exceeds the size limit");
    }
    if (state != ResponseState::kComplete) {
      return std::nullopt;
    }
    return this->HandleWholeAnswer();
  }
}

void ServerAttempt::PassOnEvents(const std::string& bytes) {
  StreamProgress& progress = this->job->progress;
  std::string passed;
  for (const StreamEvent& event : this->splitter.Feed(bytes)) {
    if (event.id && progress.last_event && *event.id <= *progress.last_event) {
      continue;  // Already forwarded by an earlier attempt.
    }
    if (event.id) {
      progress.last_event = event.id;
    }
    passed += event.text;
  }
  if (!passed.empty()) {
    this->placement->NotePromptRead();
    progress.NoteEvents(this->job->context->loop->Now());
    this->job->answer->SendPart(passed);
    this->job->context->group_watch->NoteProgress(this->placement->Group());
  }
}

std::optional<AttemptEnd> ServerAttempt::HandleStreamInput(
    ResponseState state) {
  if (!this->job->answer->HasBegun()) {
    this->job->answer->BeginStream(this->head.status,
                                   ForwardedAnswerFields(*this->response));
  }
  this->PassOnEvents(this->response->TakeBody());
  if (this->splitter.Partial().size() > kWholeAnswerBytes) {
    return this->Done(AttemptEnd::kMayHaveRun,
                      "an event exceeds the size limit");
  }
  if (state != ResponseState::kComplete) {
    return std::nullopt;
  }
  this->job->answer->SendPart(this->splitter.Partial());
  this->job->answer->EndStream();
  this->FinishConnection();
  return this->Done(AttemptEnd::kDelivered, "complete stream");
}

std::optional<AttemptEnd> ServerAttempt::HandleWholeAnswer() {
  const int status = this->head.status;
  if (this->head.not_run) {
    this->blamed = this->head.blamed_server;
    this->FinishConnection();
    return this->Done(AttemptEnd::kNotRun,
                      "declined with " + std::to_string(status));
  }
  if (this->head.is_encoded || PromisesNotRun(status) ||
      (status / 100 == 2 && !this->head.is_signed)) {
    return this->Done(AttemptEnd::kMayHaveRun,
                      "unusable answer " + std::to_string(status));
  }
  HeldAnswer answer{status, ForwardedAnswerFields(*this->response),
                    this->response->TakeBody()};
  this->FinishConnection();
  if (status >= kHttpServerError || this->job->answer->HasBegun()) {
    this->failure = std::move(answer);
    return this->Done(AttemptEnd::kFailure,
                      "error answer " + std::to_string(status));
  }
  this->job->answer->SendWhole(answer.status, std::move(answer.headers),
                               answer.body);
  return this->Done(AttemptEnd::kDelivered, "complete answer");
}

void ServerAttempt::FinishConnection() {
  if (!this->response->KeepsConnection() || this->connection->Unsent() > 0 ||
      !this->connection->Input().empty() || this->connection->HasEnded() ||
      this->head.idle_limit <= Duration{0}) {
    return;
  }
  this->job->context->pool->Keep(ToTcpEndpoint(this->placement->Address()),
                                 std::move(this->connection),
                                 this->head.idle_limit);
  this->connection = nullptr;
}

}  // namespace kumquatcart
