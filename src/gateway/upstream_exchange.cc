#include "gateway/upstream_exchange.h"

#include <exception>
#include <ios>
#include <stdexcept>
#include <string>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>

#include "gateway/gateway_constants.h"
#include "gateway/one_way_streambuf.h"
#include "net/http_status.h"

namespace kumquatcart {

namespace {

// Texts with which the HTTP library reports that no connection came about. Its
// error codes do not tell a refused connection from a broken one.
constexpr char kConnectFailedText[] = "Failed to connect to any resolved";
constexpr char kConnectCancelledText[] = "Request canceled by user";

std::string DescribeError(const std::exception_ptr& error) {
  if (!error) {
    return {};
  }
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "unknown error";
  }
}

bool SaysNeverConnected(const std::string& detail) {
  return boost::algorithm::starts_with(detail, kConnectFailedText) ||
         boost::algorithm::starts_with(detail, kConnectCancelledText);
}

web::http::http_request MakeHttpRequest(const UpstreamRequest& request) {
  web::http::http_request http_request(request.method);
  http_request.set_request_uri(web::uri(request.path_and_query));
  for (const HttpHeader& header : request.headers) {
    http_request.headers().add(header.name, header.value);
  }
  if (!request.body.empty()) {
    http_request.set_body(request.body, request.content_type);
  }
  return http_request;
}

// `method`: of the request.
ResponseFraming FramingOf(const web::http::http_response& response,
                          const std::string& method) {
  const web::http::status_code status = response.status_code();
  if (method == "HEAD" || status == kHttpNoContent ||
      status == kHttpNotModified) {
    return ResponseFraming::kNone;
  }
  if (response.headers().has("Content-Length")) {
    return ResponseFraming::kLength;
  }
  return response.headers().has("Transfer-Encoding")
             ? ResponseFraming::kChunked
             : ResponseFraming::kConnection;
}

UpstreamAnswerHead ReadHead(const web::http::http_response& response,
                            const std::string& method) {
  UpstreamAnswerHead head;
  head.framing = FramingOf(response, method);
  head.status = response.status_code();
  for (const auto& [name, value] : response.headers()) {
    head.headers.push_back(HttpHeader{name, value});
  }
  return head;
}

}  // namespace

class UpstreamExchange::BodySink : public OneWayStreambuf {
 public:
  explicit BodySink(std::shared_ptr<UpstreamExchange> exchange)
      : OneWayStreambuf(std::ios_base::out), exchange(std::move(exchange)) {}

 protected:
  pplx::task<std::size_t> _putn(const std::uint8_t* bytes,
                                std::size_t count) override {
    const std::string_view body(reinterpret_cast<const char*>(bytes), count);
    pplx::task<void> taken = this->exchange->HandleBody(body);
    if (taken.is_done()) {
      return pplx::task_from_result(count);
    }
    return taken.then([count] { return count; });
  }

 private:
  const std::shared_ptr<UpstreamExchange> exchange;
};

UpstreamExchange::UpstreamExchange(Clock* clock,
                                   UpstreamClients* clients,
                                   ExchangeRegistry* registry,
                                   const GatewaySettings& settings,
                                   std::shared_ptr<ExchangeObserver> observer)
    : clock(clock),
      clients(clients),
      registry(registry),
      settings(settings),
      observer(std::move(observer)) {}

void UpstreamExchange::Start(const UpstreamRequest& request) {
  if (!this->registry->Add(this->shared_from_this())) {
    this->never_started = true;
    this->cancelled = true;
    this->HandleTransportEnd(nullptr);
    return;
  }
  this->Touch();
  this->ArmTimer(this->PhaseBound());
  try {
    this->Send(request);
  } catch (...) {
    // The library refuses a request that it cannot express before it connects.
    this->never_started = true;
    this->HandleTransportEnd(std::current_exception());
  }
}

void UpstreamExchange::Send(const UpstreamRequest& request) {
  const std::shared_ptr<UpstreamExchange> self = this->shared_from_this();
  this->method = request.method;
  if (request.fresh_connection) {
    this->guard = std::make_shared<ConnectGuard>();
    this->client = UpstreamClients::MakeFresh(request.endpoint, this->guard);
  } else {
    this->client = this->clients->GetPooled(request.endpoint);
  }
  web::http::http_request http_request = MakeHttpRequest(request);
  const std::size_t total = request.body.size();
  http_request.set_progress_handler(
      [self, total](web::http::message_direction::direction direction,
                    utility::size64_t bytes) {
        if (direction == web::http::message_direction::upload) {
          self->HandleUpload(bytes, total);
        }
      });
  http_request.set_response_stream(
      concurrency::streams::streambuf<std::uint8_t>(
          std::make_shared<BodySink>(self))
          .create_ostream());
  this->client->request(http_request, this->cancellation.get_token())
      .then([self](const pplx::task<web::http::http_response>& answered) {
        self->HandleAnswer(answered);
      });
}

void UpstreamExchange::HandleAnswer(
    const pplx::task<web::http::http_response>& answered) {
  web::http::http_response response;
  try {
    response = answered.get();
  } catch (...) {
    this->HandleTransportEnd(std::current_exception());
    return;
  }
  if (IsFinalStatus(response.status_code())) {
    this->HandleHead(response);
  } else {
    this->HandleInvalidStatus(response.status_code());
  }
}

void UpstreamExchange::HandleInvalidStatus(int status) {
  this->phase = Phase::kAnswering;
  this->has_invalid_status = true;
  // Ends body bytes that await the head without passing them on.
  this->Cancel();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->head_delivered = true;
  }
  this->head_event.set();
  this->HandleTransportEnd(std::make_exception_ptr(std::runtime_error(
      "the answer has no final status: " + std::to_string(status))));
}

void UpstreamExchange::ResumeBody() {
  pplx::task_completion_event<void> resumed;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->body_held) {
      this->resume_early = true;
      return;
    }
    this->body_held = false;
    resumed = this->body_resumed;
  }
  this->Touch();
  resumed.set();
}

void UpstreamExchange::Cancel() {
  this->cancelled = true;
  // The connection must be closed before a held body is let go, or else it
  // would return to the pool with the rest of this answer on it.
  this->cancellation.cancel();
  this->ReleaseHeldBody();
}

void UpstreamExchange::HandleUpload(std::size_t uploaded, std::size_t total) {
  this->Touch();
  const Phase reached = uploaded >= total ? Phase::kWaiting : Phase::kSending;
  Phase current = this->phase;
  while (current < reached &&
         !this->phase.compare_exchange_weak(current, reached)) {
  }
}

void UpstreamExchange::HandleHead(const web::http::http_response& response) {
  const std::shared_ptr<UpstreamExchange> self = this->shared_from_this();
  this->Touch();
  this->phase = Phase::kAnswering;
  this->observer->OnHead(ReadHead(response, this->method));
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->head_delivered = true;
  }
  this->head_event.set();
  response.content_ready().then(
      [self](const pplx::task<web::http::http_response>& ended) {
        std::exception_ptr error;
        try {
          ended.get();
        } catch (...) {
          error = std::current_exception();
        }
        self->HandleTransportEnd(error);
      });
}

pplx::task<void> UpstreamExchange::HandleBody(std::string_view bytes) {
  const std::shared_ptr<UpstreamExchange> self = this->shared_from_this();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->head_delivered) {
      return pplx::create_task(this->head_event).then([self, bytes] {
        return self->HandleBody(bytes);
      });
    }
  }
  this->Touch();
  if (this->cancelled || this->observer->OnBody(bytes)) {
    return pplx::task_from_result();
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (std::exchange(this->resume_early, false) || this->cancelled) {
    return pplx::task_from_result();
  }
  this->body_held = true;
  this->body_resumed = pplx::task_completion_event<void>();
  return pplx::create_task(this->body_resumed);
}

void UpstreamExchange::HandleTransportEnd(const std::exception_ptr& error) {
  const ExchangeEnd end = this->DescribeEnd(error);
  this->phase = Phase::kEnded;
  std::shared_ptr<ExchangeObserver> notified;
  TimerId armed = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    notified = std::move(this->observer);
    this->observer = nullptr;
    armed = std::exchange(this->timer, 0);
  }
  this->clock->Cancel(armed);
  this->registry->Remove(this);
  if (notified) {
    notified->OnEnd(end);
  }
}

ExchangeEnd UpstreamExchange::DescribeEnd(
    const std::exception_ptr& error) const {
  ExchangeEnd end;
  end.timed_out = this->timed_out;
  end.cancelled =
      this->cancelled && !this->timed_out && !this->has_invalid_status;
  end.detail = DescribeError(error);
  switch (this->phase) {
    case Phase::kConnecting:
      end.point = this->never_started || SaysNeverConnected(end.detail)
                      ? ExchangePoint::kNotSent
                      : ExchangePoint::kSending;
      return end;
    case Phase::kSending:
      end.point = ExchangePoint::kSending;
      return end;
    case Phase::kWaiting:
      end.point = ExchangePoint::kSent;
      return end;
    case Phase::kAnswering:
    case Phase::kEnded:
      break;
  }
  // Without a length or chunks, the HTTP library reports an error for any end
  // of the connection but an orderly close.
  const bool whole = !error && !this->cancelled;
  end.point = whole ? ExchangePoint::kWholeAnswer : ExchangePoint::kAnswering;
  return end;
}

void UpstreamExchange::ReleaseHeldBody() {
  pplx::task_completion_event<void> resumed;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!std::exchange(this->body_held, false)) {
      return;
    }
    resumed = this->body_resumed;
  }
  resumed.set();
}

void UpstreamExchange::Touch() {
  this->last_activity = this->clock->Now().time_since_epoch().count();
}

void UpstreamExchange::ArmTimer(Duration delay) {
  const std::weak_ptr<UpstreamExchange> weak = this->weak_from_this();
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->observer) {
    return;
  }
  this->timer = this->clock->CallAfter(delay, [weak] {
    if (const auto exchange = weak.lock()) {
      exchange->HandleTimer();
    }
  });
}

void UpstreamExchange::HandleTimer() {
  bool held = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    held = this->body_held;
  }
  const Duration now = this->clock->Now().time_since_epoch();
  const Duration silence = now - Duration(this->last_activity.load());
  const Duration bound = this->PhaseBound();
  if (held) {
    this->ArmTimer(bound);
    return;
  }
  if (silence < bound) {
    this->ArmTimer(bound - silence);
    return;
  }
  this->timed_out = true;
  const bool connecting = this->phase == Phase::kConnecting;
  if (connecting && this->guard && this->guard->BreakOff()) {
    return;
  }
  this->Cancel();
}

Duration UpstreamExchange::PhaseBound() const {
  switch (this->phase) {
    case Phase::kConnecting:
      return this->settings.connect_timeout;
    case Phase::kSending:
    case Phase::kWaiting:
      return this->settings.first_byte_timeout;
    case Phase::kAnswering:
    case Phase::kEnded:
      break;
  }
  return this->settings.idle_timeout;
}

}  // namespace kumquatcart
