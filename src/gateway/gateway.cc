#include "gateway/gateway.h"

#include <algorithm>
#include <condition_variable>
#include <utility>

#include <cpprest/uri.h>
#include <fmt/format.h>
#include <boost/algorithm/string/predicate.hpp>

#include "base/logging.h"
#include "gateway/gateway_constants.h"
#include "gateway/listener_port.h"
#include "gateway/model_call.h"
#include "gateway/request_reader.h"
#include "gateway/service_call.h"
#include "gateway/status_page.h"

namespace kumquatcart {

namespace {

using web::http::status_codes;
using web::http::experimental::listener::http_listener;

constexpr char kServicesPrefix[] = "/services/";
constexpr char kAuthorizationHeader[] = "Authorization";
constexpr char kTextType[] = "text/plain; charset=utf-8";
constexpr char kPrometheusType[] = "text/plain; version=0.0.4";
constexpr int kStatusMethodNotAllowed = 405;
constexpr int kStatusBodyTooLarge = 413;
constexpr int kStatusHeadersTooLarge = 431;

void Observe(const pplx::task<void>& task) {
  try {
    task.get();
  } catch (...) {
    // The caller left; nobody is there to be told.
  }
}

// The answer to a request for a page. It is in progress until it is sent.
class PageAnswer {
 public:
  PageAnswer(std::shared_ptr<ActiveRequests> active,
             const web::http::http_request& transport)
      : active(std::move(active)),
        slot(this->active.get()),
        transport(transport) {}

  // Called once.
  static void Send(const std::shared_ptr<PageAnswer>& answer, WholeReply page) {
    answer->transport.reply(MakeResponse(std::move(page)))
        .then([answer](const pplx::task<void>& sent) { Observe(sent); });
  }

 private:
  // Outlives the gateway where a page handler still runs.
  const std::shared_ptr<ActiveRequests> active;
  const ActiveRequests::Slot slot;
  const web::http::http_request transport;
};

WholeReply MakePage(int status, std::string content_type, std::string body) {
  WholeReply page;
  page.status = status;
  page.content_type = std::move(content_type);
  page.body = std::move(body);
  return page;
}

// Closes `listener`, if it is open, and forgets it.
void Close(std::unique_ptr<http_listener>* listener) {
  if (!*listener) {
    return;
  }
  try {
    (*listener)->close().get();
  } catch (const std::exception& error) {
    LogWarning("gateway_close_failed", {{"detail", error.what()}});
  }
  *listener = nullptr;
}

// Lets no thread of the HTTP library work for the port when its listener is
// closed.
Result<ListenerPort> BringToRest(const std::string& host, std::int64_t port) {
  Result<ListenerPort> found = ListenerPort::Find(host, port);
  if (!found.has_value()) {
    LogWarning("stop_port_not_found", {{"detail", found.error().message}});
    return found;
  }
  const bool refuses = found.value().RefuseConnections();
  const bool ended = found.value().EndConnections();
  if (!refuses || !ended) {
    LogWarning("stop_port_busy",
               {{"port", port},
                {"refuses", refuses},
                {"connections", found.value().CountConnections()}});
  }
  return found;
}

// Blocks for `duration` of the clock's time.
void WaitFor(Clock* clock, Duration duration) {
  if (duration > Duration::zero()) {
    clock->SleepFor(duration);
  }
}

}  // namespace

Gateway::Gateway(const GatewayParts& parts, const GatewaySettings& settings)
    : context(parts, settings) {}

Gateway::~Gateway() {
  this->Stop();
  this->context.live.WaitUntilNone();
}

void Gateway::AddPage(std::string prefix, PageHandler handler) {
  this->pages.push_back(Page{std::move(prefix), std::move(handler)});
}

Status Gateway::Start() {
  const GatewaySettings& settings = this->context.settings;
  if (settings.operator_port != 0) {
    BOOST_OUTCOME_TRY(
        opened, this->Open(settings.operator_host, settings.operator_port,
                           [this](const web::http::http_request& request) {
                             this->HandleOperatorRequest(request);
                           }));
    this->operator_listener = std::move(opened);
  }
  BOOST_OUTCOME_TRY(opened,
                    this->Open(settings.http_host, settings.http_port,
                               [this](const web::http::http_request& request) {
                                 this->HandleRequest(request);
                               }));
  this->listener = std::move(opened);
  LogInfo("gateway_started",
          {{"host", settings.http_host}, {"port", settings.http_port}});
  return Ok();
}

Result<std::unique_ptr<Gateway::Listener>> Gateway::Open(
    const std::string& host,
    std::int64_t port,
    std::function<void(const web::http::http_request&)> handler) {
  web::uri_builder address;
  address.set_scheme("http");
  address.set_host(host);
  address.set_port(static_cast<int>(port));
  address.set_path("/");
  try {
    auto opened = std::make_unique<Listener>(address.to_uri());
    opened->support(std::move(handler));
    opened->open().get();
    return opened;
  } catch (const std::exception& error) {
    return MakeError(
        ErrorCode::kUnavailable,
        fmt::format("cannot listen on {}:{}: {}", host, port, error.what()));
  }
}

void Gateway::Drain() {
  this->draining = true;
  LogInfo("gateway_draining",
          {{"active_requests", this->context.active.Count()}});
  WaitFor(this->context.parts.clock, this->context.settings.drain_settle);
  this->accepting = false;
  this->context.active.WaitUntilNone();
  LogInfo("gateway_drained");
}

void Gateway::Stop() {
  if (!this->listener) {
    return;
  }
  this->context.stopping = true;
  this->accepting = false;
  for (const auto& exchange : this->context.exchanges.Close()) {
    exchange->Cancel();
  }
  this->WaitForAnswers();
  const GatewaySettings& settings = this->context.settings;
  std::vector<Result<ListenerPort>> ports;
  ports.push_back(BringToRest(settings.http_host, settings.http_port));
  if (this->operator_listener) {
    ports.push_back(
        BringToRest(settings.operator_host, settings.operator_port));
  }
  Close(&this->listener);
  Close(&this->operator_listener);
  for (Result<ListenerPort>& port : ports) {
    if (port.has_value()) {
      port.value().Release();
    }
  }
}

void Gateway::WaitForAnswers() {
  Clock* const clock = this->context.parts.clock;
  const MonotonicTime deadline = clock->Now() + kStopAnswerTimeout;
  const bool answered =
      this->context.active.WaitUntilNone(clock, kStopAnswerTimeout) &&
      this->active_pages->WaitUntilNone(clock, deadline - clock->Now());
  if (!answered) {
    LogWarning("stop_cuts_answers", {{"requests", this->context.active.Count()},
                                     {"pages", this->active_pages->Count()}});
  }
}

bool Gateway::IsReady() const {
  return !this->draining &&
         this->context.parts.board->config.Read()->offset > kNoOffset;
}

void Gateway::HandleRequest(const web::http::http_request& transport) {
  try {
    const bool serves_pages = this->operator_listener == nullptr;
    if (this->ServeHealth(transport) ||
        (serves_pages &&
         (this->ServeOwnPage(transport) || this->ServeAddedPage(transport)))) {
      return;
    }
    auto incoming =
        std::make_shared<IncomingRequest>(&this->context, transport);
    const web::uri uri = transport.relative_uri();
    incoming->method = transport.method();
    incoming->path = uri.path();
    incoming->query = uri.query();
    incoming->headers = CopyHeaders(transport.headers());
    if (!this->accepting) {
      Error error = MakeError(ErrorCode::kUnavailable,
                              "this entry VM is stopping; ask another one");
      error.retry_after_ms = kDefaultRetryAfterMs;
      incoming->Refuse(RequestOutcome::kNotRun, error,
                       StatusOfError(error.code));
      return;
    }
    this->Dispatch(incoming);
  } catch (const std::exception& error) {
    LogError("request_handling_failed", {{"detail", error.what()}});
    transport.reply(status_codes::InternalError).then(Observe);
  }
}

void Gateway::HandleOperatorRequest(const web::http::http_request& transport) {
  try {
    if (this->ServeHealth(transport) || this->ServeOwnPage(transport) ||
        this->ServeAddedPage(transport)) {
      return;
    }
    this->SendPage(transport, MakePage(status_codes::NotFound, kTextType,
                                       "nothing is served here\n"));
  } catch (const std::exception& error) {
    LogError("operator_request_failed", {{"detail", error.what()}});
    transport.reply(status_codes::InternalError).then(Observe);
  }
}

void Gateway::Dispatch(const std::shared_ptr<IncomingRequest>& incoming) {
  const Status identified = this->Identify(incoming);
  if (!identified.has_value()) {
    const Error& error = identified.error();
    const bool too_long = error.code == ErrorCode::kExhausted;
    this->RefuseInput(
        incoming, error,
        too_long ? kStatusHeadersTooLarge : StatusOfError(error.code));
    return;
  }
  if (incoming->path == "/v1/chat/completions") {
    this->DispatchCompletion(incoming, CompletionKind::kChat);
  } else if (incoming->path == "/v1/completions") {
    this->DispatchCompletion(incoming, CompletionKind::kText);
  } else if (boost::algorithm::starts_with(incoming->path, kServicesPrefix)) {
    this->DispatchService(incoming);
  } else {
    this->RefuseInput(incoming, MakeError(ErrorCode::kNotFound,
                                          "path: nothing is served here"));
  }
}

Status Gateway::Identify(const std::shared_ptr<IncomingRequest>& incoming) {
  BOOST_OUTCOME_TRY(options, ParseRequestOptions(incoming->headers));
  incoming->options = std::move(options);
  const auto limit =
      static_cast<std::size_t>(this->context.settings.max_header_bytes);
  if (HeaderBytes(incoming->headers) > limit) {
    return MakeError(
        ErrorCode::kExhausted,
        fmt::format("headers: are longer than {} bytes in sum", limit));
  }
  BOOST_OUTCOME_TRY(caller, this->Directory()->Identify(FindHeader(
                                incoming->headers, kAuthorizationHeader)));
  incoming->caller = std::move(caller);
  return Ok();
}

void Gateway::DispatchCompletion(
    const std::shared_ptr<IncomingRequest>& incoming,
    CompletionKind kind) {
  if (incoming->method != web::http::methods::POST) {
    this->RefuseInput(incoming,
                      MakeError(ErrorCode::kInvalidArgument,
                                "method: must be POST on this path"),
                      kStatusMethodNotAllowed);
    return;
  }
  this->ReadBodyThen(incoming, [this, incoming, kind] {
    Result<CompletionRequest> parsed = ParseCompletion(kind, incoming->body);
    if (!parsed.has_value()) {
      this->RefuseInput(incoming, parsed.error());
      return;
    }
    Result<Configured<ModelService>> service =
        this->Directory()->FindModelService(incoming->caller,
                                            parsed.value().service);
    if (!service.has_value()) {
      this->RefuseInput(incoming, service.error());
      return;
    }
    std::make_shared<ModelCall>(incoming, std::move(parsed.value()),
                                std::move(service.value()))
        ->Start();
  });
}

void Gateway::DispatchService(
    const std::shared_ptr<IncomingRequest>& incoming) {
  const std::string below =
      incoming->path.substr(std::string(kServicesPrefix).size());
  const std::size_t slash = std::min(below.find('/'), below.size());
  const ServiceName name(below.substr(0, slash));
  const std::string path = below.substr(slash);
  Result<Configured<PlainService>> service =
      this->Directory()->FindPlainService(incoming->caller, name);
  if (!service.has_value()) {
    this->RefuseInput(incoming, service.error());
    return;
  }
  const RequestKind kind =
      ClassifyServiceRequest(service.value().body, incoming->method, path,
                             incoming->options.idempotency_key);
  const std::string path_and_query =
      incoming->query.empty() ? path : path + "?" + incoming->query;
  auto call = std::make_shared<ServiceCall>(
      incoming, std::move(service.value()), path_and_query, kind);
  this->ReadBodyThen(incoming, [call] { call->Start(); });
}

void Gateway::ReadBodyThen(const std::shared_ptr<IncomingRequest>& incoming,
                           std::function<void()> next) {
  const auto limit =
      static_cast<std::size_t>(this->context.settings.max_body_bytes);
  ReadBody(incoming->Transport(), limit,
           [this, incoming, next = std::move(next)](Result<std::string> body) {
             if (!body.has_value()) {
               const bool too_long = body.error().code == ErrorCode::kExhausted;
               this->RefuseInput(incoming, body.error(),
                                 too_long ? kStatusBodyTooLarge
                                          : StatusOfError(body.error().code));
               return;
             }
             incoming->body = std::move(body.value());
             next();
           });
}

void Gateway::RefuseInput(const std::shared_ptr<IncomingRequest>& incoming,
                          const Error& error) {
  this->RefuseInput(incoming, error, StatusOfError(error.code));
}

void Gateway::RefuseInput(const std::shared_ptr<IncomingRequest>& incoming,
                          const Error& error,
                          int status) {
  this->context.metrics.refused_input.Add();
  Error shown = error;
  if (shown.code == ErrorCode::kExhausted) {
    // The caller must mend its request; trying later does not help.
    shown.code = ErrorCode::kInvalidArgument;
  }
  incoming->Refuse(RequestOutcome::kNotRun, shown, status);
}

void Gateway::SendPage(const web::http::http_request& transport,
                       WholeReply page) {
  PageAnswer::Send(std::make_shared<PageAnswer>(this->active_pages, transport),
                   std::move(page));
}

bool Gateway::ServeHealth(const web::http::http_request& transport) {
  const std::string path = transport.relative_uri().path();
  if (path == "/healthz") {
    this->SendPage(transport, MakePage(status_codes::OK, kTextType, "ok\n"));
  } else if (path == "/readyz") {
    const bool ready = this->IsReady();
    this->SendPage(
        transport,
        MakePage(ready ? status_codes::OK : status_codes::ServiceUnavailable,
                 kTextType, ready ? "ready\n" : "not ready\n"));
  } else {
    return false;
  }
  return true;
}

bool Gateway::ServeOwnPage(const web::http::http_request& transport) {
  const std::string path = transport.relative_uri().path();
  if (path == "/metrics") {
    this->context.metrics.active_requests.Set(
        static_cast<double>(this->context.active.Count()));
    this->SendPage(transport,
                   MakePage(status_codes::OK, kPrometheusType,
                            this->context.parts.metrics->Serialize()));
  } else if (path == "/status") {
    this->SendPage(transport, MakePage(status_codes::OK, "application/json",
                                       this->RenderStatusPage()));
  } else {
    return false;
  }
  return true;
}

bool Gateway::ServeAddedPage(const web::http::http_request& transport) {
  const web::uri uri = transport.relative_uri();
  const auto page = std::find_if(
      this->pages.begin(), this->pages.end(), [&](const Page& candidate) {
        return boost::algorithm::starts_with(uri.path(), candidate.prefix);
      });
  if (page == this->pages.end()) {
    return false;
  }
  PageRequest request;
  request.method = transport.method();
  request.path = uri.path();
  request.query = uri.query();
  request.headers = CopyHeaders(transport.headers());
  const PageHandler& handler = page->handler;
  WorkerPool* const workers = this->context.parts.workers;
  const auto limit =
      static_cast<std::size_t>(this->context.settings.max_body_bytes);
  const auto answer =
      std::make_shared<PageAnswer>(this->active_pages, transport);
  ReadBody(transport, limit,
           [answer, handler, request, workers](Result<std::string> body) {
             if (!body.has_value()) {
               PageAnswer::Send(answer, MakePage(kStatusBodyTooLarge, kTextType,
                                                 body.error().message));
               return;
             }
             PageRequest complete = request;
             complete.body = std::move(body.value());
             workers->Post([answer, handler, complete] {
               PageAnswer::Send(answer, handler(complete));
             });
           });
  return true;
}

std::shared_ptr<const CallerDirectory> Gateway::Directory() {
  std::shared_ptr<const ConfigView> config =
      this->context.parts.board->config.Read();
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->directory || this->directory->Config() != config) {
    this->directory = std::make_shared<const CallerDirectory>(config);
  }
  return this->directory;
}

std::string Gateway::RenderStatusPage() {
  StatusFacts facts;
  facts.ready = this->IsReady();
  facts.requests = this->context.metrics.OutcomeCounts();
  facts.now = this->context.parts.clock->Now();
  return RenderStatus(*this->context.parts.board, facts)
      .dump(2, ' ', false, Json::error_handler_t::replace);
}

}  // namespace kumquatcart
