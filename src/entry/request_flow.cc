#include "entry/request_flow.h"

#include <algorithm>
#include <random>

#include "base/logging.h"
#include "entry/entry_constants.h"
#include "entry/plain_places.h"
#include "net/http_status.h"

namespace kumquatcart {

namespace {

// Part of the target for the first event that a stream may spend waiting for a
// place: reading the prompt and the first pass take the rest.
constexpr double kWaitPart = 0.4;
// How long a late request may wait: callers of a stream leave after two seconds
// without an event, and reading the prompt takes some of them.
constexpr Duration kLateWait = std::chrono::milliseconds(1300);
// Waits of requests to routes without a target.
constexpr Duration kDefaultWait = std::chrono::milliseconds(150);

double DrawUniform() {
  static thread_local std::minstd_rand generator{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(generator);
}

}  // namespace

RequestFlow::RequestFlow(EntryContext* context,
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
  this->job.drop_reserved = [this] { this->DropReserved(); };
}

void RequestFlow::LogEnd(int status, const std::string& reason) {
  const MonotonicTime now = this->context->loop->Now();
  const bool has_events = this->job.progress.has_events;
  LogInfo(
      "request",
      {{"id", this->request.id},
       {"route", this->job.route ? this->job.route->name : ""},
       {"service", this->service},
       {"model", this->request.model},
       {"server", this->last_server},
       {"status", status},
       {"reason", reason},
       {"runs", this->runs},
       {"declined", this->declined},
       {"prompt", this->request.prompt_tokens},
       {"patience_ms", ToMillis(this->request.patience)},
       {"config", this->routes ? this->routes->Config().version : 0},
       {"first_ms", has_events ? ToMillis(this->job.progress.first_event_at -
                                          this->received_at)
                               : -1},
       {"pause_ms", ToMillis(this->job.progress.longest_pause)},
       {"ms", ToMillis(now - this->received_at)}});
  this->context->metrics
      ->GetCounter("kumquatcart_requests_total",
                   {{"status", std::to_string(status)}})
      .Add();
  this->context->metrics->GetHistogram("kumquatcart_request_seconds")
      .Record(now - this->received_at);
}

bool RequestFlow::Refuse(int status, Duration retry_after, std::string reason) {
  if (this->job.answer->HasBegun()) {
    this->LogEnd(status, "cut: " + reason);
    return false;  // The stream ends without its last chunk.
  }
  this->job.answer->SendWhole(
      status, OwnAnswerFields(this->request.id, retry_after), {});
  this->LogEnd(status, reason);
  return true;
}

void RequestFlow::WaitForStart(Coroutine yield) {
  EventLoop& loop = *this->context->loop;
  const MonotonicTime deadline = loop.Now() + kStartWait;
  while ((this->context->routes == nullptr || !this->context->knows_fleet()) &&
         !this->job.caller->HasEnded() && loop.Now() < deadline) {
    this->job.waiter->WaitUntil(std::min(deadline, loop.Now() + kStartPoll),
                                yield);
  }
  this->routes = this->context->routes;
}

bool RequestFlow::Identify() {
  if (this->routes == nullptr) {
    this->Refuse(kHttpUnavailable, kNoConfigRetry, "no configuration yet");
    return false;
  }
  this->job.route =
      this->routes->Match(this->request.host, this->request.target);
  if (this->job.route == nullptr) {
    this->Refuse(kHttpNotFound, Duration{0}, "no route");
    return false;
  }
  const RoutingConfig& config = this->routes->Config();
  if (config.needs_keys && !this->job.route->is_public) {
    const KeyHolder* holder = this->routes->FindHolder(this->request.key);
    if (holder == nullptr) {
      this->Refuse(kHttpUnauthorized, Duration{0}, "unknown key");
      return false;
    }
    this->job.organisation = holder->organisation;
  }
  const ServiceShare* share =
      RouteTable::PickService(*this->job.route, DrawUniform());
  this->service = share == nullptr ? std::string() : share->service;
  this->uses_groups = config.FindEngine(this->service) != nullptr;
  return true;
}

bool RequestFlow::Run(Coroutine yield) {
  if (this->routes == nullptr || !this->context->knows_fleet()) {
    this->WaitForStart(yield);
  }
  if (!this->Identify()) {
    return true;
  }
  this->context->view->NoteTraffic();
  const Duration patience = this->request.patience > Duration{0}
                                ? this->request.patience - kAnswerMargin
                                : kDefaultPatience;
  const Duration timeout = this->job.route->timeout > Duration{0}
                               ? this->job.route->timeout
                               : patience;
  this->job.end = this->received_at + std::min(patience, timeout);
  this->context->repeats->NoteRequest(this->service,
                                      this->context->loop->Now());
  return this->RunAttempts(yield);
}

MonotonicTime RequestFlow::LatestStart() const {
  const Duration target = this->job.route->target_latency;
  return this->received_at +
         (target > Duration{0}
              ? std::chrono::duration_cast<Duration>(target * kWaitPart)
              : kDefaultWait);
}

PlaceQuery RequestFlow::MakeQuery() const {
  PlaceQuery query;
  query.service = this->service;
  query.model = this->request.model;
  query.excluded = this->excluded;
  query.prompt_tokens = this->request.prompt_tokens;
  query.gap_target = this->job.route->gap_target;
  query.latest_start = this->LatestStart();
  query.wait_until =
      std::min(this->context->loop->Now() + kLateWait, this->job.end);
  return query;
}

bool RequestFlow::ReserveNext() {
  const MonotonicTime now = this->context->loop->Now();
  if (this->reserved != nullptr) {
    return true;
  }
  if (!this->HasAttemptLeft(AttemptEnd::kMayHaveRun, this->runs + 1) ||
      now >= this->job.end ||
      !this->context->repeats->HasLeft(this->service, now)) {
    // No place is held for a repeat that may not be sent: its server could be
    // leaving by the time that it may.
    this->ticket = nullptr;
    return false;
  }
  if (this->ticket == nullptr) {
    PlaceQuery query = this->MakeQuery();
    query.excluded.insert(this->last_server);
    this->ticket = this->context->group_places->Join(query, this->job.waiter);
  }
  if (!this->ticket->IsGranted() ||
      !this->context->repeats->TryTake(this->service, now)) {
    return false;
  }
  this->reserved = this->ticket->Take();
  return true;
}

void RequestFlow::DropReserved() {
  this->ticket = nullptr;
}

PlaceResult RequestFlow::AcquirePlace(Coroutine yield) {
  if (this->reserved != nullptr) {
    PlaceResult result;
    result.placement = std::move(this->reserved);
    return result;
  }
  const PlaceQuery query = this->MakeQuery();
  if (!this->uses_groups) {
    return this->context->plain_places->Acquire(query);
  }
  return this->context->group_places->Acquire(query, this->job.caller,
                                              this->job.waiter, yield);
}

bool RequestFlow::RunAttempts(Coroutine yield) {
  for (;;) {
    const PlaceResult place = this->AcquirePlace(yield);
    if (this->job.caller->HasEnded()) {
      this->LogEnd(0, "the caller left");
      return false;
    }
    if (place.placement == nullptr) {
      return this->GiveUp(place.retry_after, place.reason);
    }
    this->last_server = place.placement->ServerId();
    this->job.is_late = this->context->loop->Now() > this->LatestStart();
    ServerAttempt attempt(&this->job, place.placement.get());
    const AttemptEnd end = attempt.Run(yield);
    this->ticket = nullptr;
    this->NoteAttempt(*place.placement, end, attempt);
    switch (end) {
      case AttemptEnd::kDelivered:
        this->LogEnd(kHttpOk, attempt.Reason());
        return true;
      case AttemptEnd::kCallerGone:
        this->LogEnd(0, attempt.Reason());
        return false;
      case AttemptEnd::kTimeUp:
        return this->Refuse(kHttpGatewayTimeout, Duration{0}, attempt.Reason());
      default:
        break;
    }
    if (!this->MayRepeat(end)) {
      return this->GiveUp(kShortestRetry, attempt.Reason());
    }
  }
}

void RequestFlow::NoteAttempt(const Placement& placement,
                              AttemptEnd end,
                              const ServerAttempt& attempt) {
  this->excluded.insert(placement.ServerId());
  if (end == AttemptEnd::kFailure) {
    this->held_failure = attempt.Failure();
  }
  if (end == AttemptEnd::kNotRun) {
    ++this->declined;
  } else {
    ++this->runs;
  }
  if (!attempt.BlamedServer().empty()) {
    this->context->prober->Doubt({attempt.BlamedServer()});
  }
  if (!this->uses_groups) {
    if (end == AttemptEnd::kDelivered) {
      this->context->plain_places->NoteSuccess(placement.ServerId());
    } else if (end != AttemptEnd::kCallerGone) {
      this->context->plain_places->NoteFailure(placement.ServerId());
    }
  }
  if (end != AttemptEnd::kDelivered) {
    LogInfo("attempt", {{"id", this->request.id},
                        {"server", placement.ServerId()},
                        {"group", placement.Group()},
                        {"epoch", placement.Epoch()},
                        {"end", ToString(end)},
                        {"reason", attempt.Reason()}});
  }
}

bool RequestFlow::HasAttemptLeft(AttemptEnd end, int runs_so_far) const {
  return end == AttemptEnd::kNotRun
             ? this->declined <= kMaxDeclined
             : this->job.route->repeatability != Repeatability::kAtMostOnce &&
                   runs_so_far < this->job.route->attempts;
}

bool RequestFlow::MayRepeat(AttemptEnd end) {
  if (this->reserved != nullptr) {
    return true;  // The repeat was taken with the place.
  }
  const MonotonicTime now = this->context->loop->Now();
  return this->HasAttemptLeft(end, this->runs) && now < this->job.end &&
         !this->job.caller->HasEnded() &&
         this->context->repeats->TryTake(this->service, now);
}

bool RequestFlow::GiveUp(Duration retry_after, const std::string& reason) {
  if (this->held_failure && !this->job.answer->HasBegun()) {
    HeldAnswer& failure = *this->held_failure;
    this->job.answer->SendWhole(failure.status, std::move(failure.headers),
                                failure.body);
    this->LogEnd(failure.status, reason);
    return true;
  }
  return this->runs == 0 ? this->Refuse(kHttpUnavailable, retry_after, reason)
                         : this->Refuse(kHttpBadGateway, Duration{0}, reason);
}

}  // namespace kumquatcart
