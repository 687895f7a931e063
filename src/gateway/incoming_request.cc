#include "gateway/incoming_request.h"

#include <algorithm>
#include <utility>

#include <cpprest/streams.h>

#include "base/base_constants.h"
#include "base/logging.h"
#include "gateway/answer_format.h"
#include "gateway/gateway_constants.h"

namespace kumquatcart {

namespace {

constexpr int kStatusUnauthorized = 401;

// Takes in the end of a transport task so that its failure is not unobserved.
// Returns whether it succeeded.
bool Succeeded(const pplx::task<void>& task) {
  try {
    task.get();
    return true;
  } catch (...) {
    return false;
  }
}

std::string FormatRetryAfter(std::int64_t millis) {
  const std::int64_t seconds =
      (millis + kMillisPerSecond - 1) / kMillisPerSecond;
  return std::to_string(std::max<std::int64_t>(1, seconds));
}

bool CallsForRetryAfter(RequestOutcome outcome, ErrorCode code) {
  return outcome == RequestOutcome::kNotRun &&
         (code == ErrorCode::kExhausted || code == ErrorCode::kUnavailable ||
          code == ErrorCode::kTimeout);
}

}  // namespace

web::http::http_response MakeResponse(WholeReply reply) {
  web::http::http_response response(
      static_cast<web::http::status_code>(reply.status));
  response.set_body(std::move(reply.body), reply.content_type);
  for (const HttpHeader& header : reply.headers) {
    response.headers().add(header.name, header.value);
  }
  return response;
}

int StatusOfError(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kPermissionDenied:
      return kStatusUnauthorized;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kExhausted:
      return 429;
    case ErrorCode::kUnavailable:
      return 503;
    case ErrorCode::kTimeout:
      return 504;
    case ErrorCode::kUnknown:
    case ErrorCode::kExpired:
    case ErrorCode::kCancelled:
    case ErrorCode::kInternal:
      break;
  }
  return 502;
}

IncomingRequest::IncomingRequest(GatewayContext* context,
                                 const web::http::http_request& transport)
    : context(context),
      arrived_at(context->parts.clock->Now()),
      transport(transport),
      live_slot(&context->live),
      active_slot(std::make_unique<ActiveRequests::Slot>(&context->active)) {}

bool IncomingRequest::AcceptsChunks() const {
  return this->transport.http_version() >= web::http::http_versions::HTTP_1_1;
}

void IncomingRequest::Reply(RequestOutcome outcome, WholeReply reply) {
  if (this->answered.exchange(true)) {
    return;
  }
  // Counted first: whoever has the answer finds it in the metrics.
  this->End(outcome, {});
  this->Send(outcome, std::move(reply));
}

void IncomingRequest::Refuse(RequestOutcome outcome, const Error& error) {
  this->Refuse(outcome, error, StatusOfError(error.code));
}

void IncomingRequest::Refuse(RequestOutcome outcome,
                             const Error& error,
                             int status) {
  if (this->answered.exchange(true)) {
    return;
  }
  Error shown = error;
  WholeReply reply;
  reply.status = status;
  if (error.retry_after_ms > 0 || CallsForRetryAfter(outcome, error.code)) {
    shown.retry_after_ms =
        error.retry_after_ms > 0 ? error.retry_after_ms : kDefaultRetryAfterMs;
    reply.headers.push_back(
        HttpHeader{kRetryAfterHeader, FormatRetryAfter(shown.retry_after_ms)});
  }
  if (status == kStatusUnauthorized) {
    reply.headers.push_back(HttpHeader{"WWW-Authenticate", "Bearer"});
  }
  reply.body = FormatErrorBody(shown, outcome, this->options.request);
  this->End(outcome, error.message);
  this->Send(outcome, std::move(reply));
}

void IncomingRequest::BeginStream(const std::shared_ptr<RelayBuffer>& buffer,
                                  std::function<void()> on_gone) {
  if (this->answered.exchange(true)) {
    return;
  }
  web::http::http_response response(web::http::status_codes::OK);
  // The end of the stream tells the outcome; until then it is not known.
  response.headers().add(kOutcomeHeader, ToString(RequestOutcome::kUnknown));
  response.headers().add(kRequestIdHeader, this->options.request.value);
  response.headers().add("Cache-Control", "no-cache");
  response.set_body(
      concurrency::streams::streambuf<std::uint8_t>(buffer).create_istream(),
      kEventStreamType);
  const std::shared_ptr<IncomingRequest> self = this->shared_from_this();
  this->WatchStall(buffer, 0, on_gone);
  this->transport.reply(response).then(
      [self, on_gone = std::move(on_gone)](const pplx::task<void>& sent) {
        self->sent = true;
        if (!Succeeded(sent)) {
          self->EndGone();
          on_gone();
        }
        self->LeaveActive();
      });
}

void IncomingRequest::LeaveActive() {
  const std::lock_guard<std::mutex> lock(this->slot_mutex);
  this->active_slot.reset();
}

void IncomingRequest::WatchStall(const std::shared_ptr<RelayBuffer>& buffer,
                                 std::uint64_t taken_before,
                                 const std::function<void()>& on_gone) {
  const std::weak_ptr<IncomingRequest> weak = this->weak_from_this();
  this->context->parts.clock->CallAfter(
      this->context->settings.caller_stall_timeout,
      [weak, buffer, taken_before, on_gone] {
        const auto incoming = weak.lock();
        if (!incoming || incoming->sent) {
          return;
        }
        const std::uint64_t taken = buffer->TakenBytes();
        if (buffer->BufferedBytes() == 0 || taken != taken_before) {
          incoming->WatchStall(buffer, taken, on_gone);
          return;
        }
        // The HTTP library keeps the connection until the transport gives it
        // up; the request itself is over.
        buffer->Abort();
        incoming->EndGone();
        on_gone();
        incoming->LeaveActive();
      });
}

void IncomingRequest::End(RequestOutcome outcome, const std::string& detail) {
  if (this->ended.exchange(true)) {
    return;
  }
  this->context->metrics.RecordOutcome(outcome, this->Elapsed());
  this->LogEnd(ToString(outcome), detail);
}

void IncomingRequest::EndGone() {
  if (this->ended.exchange(true)) {
    return;
  }
  this->context->metrics.callers_gone.Add();
  this->LogEnd("caller-gone", {});
}

void IncomingRequest::NoteAttempt(const AttemptId& attempt,
                                  const GroupId& group) {
  this->last_attempt = attempt;
  this->last_group = group;
  this->answer_framing = ResponseFraming::kNone;
  ++this->attempts;
}

void IncomingRequest::Send(RequestOutcome outcome, WholeReply reply) {
  web::http::http_response response = MakeResponse(std::move(reply));
  response.headers().add(kOutcomeHeader, ToString(outcome));
  response.headers().add(kRequestIdHeader, this->options.request.value);
  const std::shared_ptr<IncomingRequest> self = this->shared_from_this();
  this->transport.reply(response).then([self](const pplx::task<void>& sent) {
    self->sent = true;
    self->LeaveActive();
    Succeeded(sent);
  });
}

void IncomingRequest::LogEnd(const char* outcome,
                             const std::string& detail) const {
  LogInfo("request_end", {{"request", this->options.request},
                          {"attempt", this->last_attempt},
                          {"organisation", this->caller.organisation},
                          {"group", this->last_group},
                          {"method", this->method},
                          {"path", this->path},
                          {"outcome", outcome},
                          {"attempts", this->attempts},
                          {"answer_framing", ToString(this->answer_framing)},
                          {"last_token", this->last_token.load()},
                          {"elapsed_ms", ToMillis(this->Elapsed())},
                          {"detail", detail}});
}

Duration IncomingRequest::Elapsed() const {
  return this->context->parts.clock->Now() - this->arrived_at;
}

}  // namespace kumquatcart
