#include "platform/http_exchange.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <string_view>
#include <utility>

#include <pplx/pplxtasks.h>

#include "base/scope_guard.h"

#include "net/http_status.h"
#include "platform/platform_constants.h"

namespace kumquatcart::internal {

namespace {

using web::http::client::http_client;
using web::http::client::http_client_config;

// The library reports a failed connect by this message only; its error codes
// are shared with later phases.
constexpr std::string_view kConnectFailure = "Failed to connect";

// Longest part of an unexpected answer quoted in an error.
constexpr std::size_t kQuotedBodyBytes = 200;

web::http::http_request MakeRequest(const HttpCall& call) {
  web::http::http_request request(call.method);
  request.set_request_uri(web::uri(call.path));
  if (!call.body.empty()) {
    request.set_body(call.body, "application/json");
  }
  return request;
}

Error ToError(const web::http::http_exception& error, bool timed_out) {
  const std::string message = error.what();
  if (message.rfind(kConnectFailure, 0) == 0) {
    return MakeError(ErrorCode::kUnavailable, message);
  }
  if (timed_out || error.error_code() == std::errc::timed_out) {
    return MakeError(ErrorCode::kTimeout, "no answer in time");
  }
  return MakeError(ErrorCode::kUnknown, message);
}

pplx::task<HttpAnswer> ReadAnswer(web::http::http_response response) {
  const int status = response.status_code();
  return response.extract_utf8string(true).then([status](std::string body) {
    return HttpAnswer{status, std::move(body)};
  });
}

}  // namespace

Result<HttpAnswer> Exchange(http_client& client,
                            Clock* clock,
                            const HttpCall& call) {
  const pplx::cancellation_token_source cancellation;
  const TimerId timer =
      clock->CallAfter(call.timeout, [cancellation] { cancellation.cancel(); });
  const ScopeGuard stop_timer([&] { clock->Cancel(timer); });
  const auto timed_out = [&] { return cancellation.get_token().is_canceled(); };
  try {
    return client.request(MakeRequest(call), cancellation.get_token())
        .then(ReadAnswer)
        .get();
  } catch (const web::http::http_exception& error) {
    return ToError(error, timed_out());
  } catch (const pplx::task_canceled&) {
    return MakeError(ErrorCode::kTimeout, "no answer in time");
  } catch (const std::exception& error) {
    return MakeError(timed_out() ? ErrorCode::kTimeout : ErrorCode::kUnknown,
                     error.what());
  }
}

Result<HttpAnswer> ExchangeOnce(const std::string& base_url,
                                Clock* clock,
                                const HttpCall& call) {
  try {
    http_client_config config;
    config.set_timeout(std::max<std::chrono::milliseconds>(
        std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout),
        std::chrono::milliseconds(1)));
    http_client client{web::uri(base_url), config};
    return Exchange(client, clock, call);
  } catch (const std::exception& error) {
    // Only making the client throws; nothing was sent.
    return MakeError(ErrorCode::kUnavailable, error.what());
  }
}

Error WithoutEffect(Error error) {
  if (error.code == ErrorCode::kUnknown) {
    error.code = ErrorCode::kUnavailable;
  }
  return error;
}

Error WithEffect(Error error) {
  if (error.code == ErrorCode::kTimeout) {
    error.code = ErrorCode::kUnknown;
  }
  return error;
}

Error UnexpectedStatus(ErrorCode code, const HttpAnswer& answer) {
  return MakeError(code, "HTTP status " + std::to_string(answer.status) + ": " +
                             answer.body.substr(0, kQuotedBodyBytes));
}

Result<std::string> BodyOfRead(const Result<HttpAnswer>& answer) {
  if (!answer.has_value()) {
    return WithoutEffect(answer.error());
  }
  if (answer.value().status != kHttpOk) {
    return UnexpectedStatus(ErrorCode::kUnavailable, answer.value());
  }
  return answer.value().body;
}

}  // namespace kumquatcart::internal
