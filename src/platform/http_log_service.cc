#include "platform/http_log_service.h"

#include <utility>

#include "base/json.h"
#include "net/http_status.h"
#include "platform/http_exchange.h"
#include "platform/platform_constants.h"

namespace kumquatcart {

namespace {

std::string StreamPath(const StreamName& stream) {
  return kLogPath + web::uri::encode_data_string(stream.value);
}

std::string ReadPath(const StreamName& stream,
                     Offset from,
                     std::size_t max_records,
                     Duration wait) {
  return StreamPath(stream) + "?from=" + std::to_string(from) +
         "&max=" + std::to_string(max_records) +
         "&wait_ms=" + std::to_string(ToMillis(wait));
}

web::http::client::http_client_config ReadConfig() {
  web::http::client::http_client_config config;
  // Each call sets its own bound by the clock; this one only backs it up.
  config.set_timeout(std::chrono::duration_cast<std::chrono::seconds>(
      kHighestPlatformTimeout));
  return config;
}

// What an answer to an append other than success says about its effect.
Error AppendRefusal(const internal::HttpAnswer& answer) {
  if (answer.status == kHttpTooManyRequests) {
    Error error = internal::UnexpectedStatus(ErrorCode::kExhausted, answer);
    error.retry_after_ms = kAppendRetryAfterMs;
    return error;
  }
  if (answer.status == kHttpServiceUnavailable) {
    return internal::UnexpectedStatus(ErrorCode::kUnavailable, answer);
  }
  if (answer.status >= kHttpInternalServerError) {
    // Only 503 promises that the record was not appended.
    return internal::UnexpectedStatus(ErrorCode::kUnknown, answer);
  }
  return internal::UnexpectedStatus(ErrorCode::kUnavailable, answer);
}

Result<Offset> DecodeOffset(const std::string& body) {
  BOOST_OUTCOME_TRY(json, ParseJson(body));
  if (!json.is_object() || !json.contains("offset") ||
      !json["offset"].is_number_integer()) {
    return MakeError(ErrorCode::kInvalidArgument, "answer lacks an offset");
  }
  return json["offset"].get<Offset>();
}

}  // namespace

HttpLogService::HttpLogService(const std::string& base_url,
                               const PlatformSettings& settings,
                               Clock* clock)
    : base_url(base_url),
      settings(settings),
      clock(clock),
      client(web::uri(base_url), ReadConfig()) {}

Result<Offset> HttpLogService::Append(const StreamName& stream,
                                      const AppendId& append_id,
                                      const std::string& payload) {
  const Json body = {{"append_id", append_id}, {"payload", payload}};
  const internal::HttpCall call{
      web::http::methods::POST, StreamPath(stream),
      body.dump(-1, ' ', false, Json::error_handler_t::replace),
      this->settings.append_timeout};
  const Result<internal::HttpAnswer> answer =
      internal::ExchangeOnce(this->base_url, this->clock, call);
  if (!answer.has_value()) {
    return internal::WithEffect(answer.error());
  }
  if (answer.value().status != kHttpOk) {
    return AppendRefusal(answer.value());
  }
  Result<Offset> offset = DecodeOffset(answer.value().body);
  if (!offset.has_value()) {
    return MakeError(ErrorCode::kUnknown, offset.error().message);
  }
  return offset;
}

Result<LogBatch> HttpLogService::Read(const StreamName& stream,
                                      Offset from,
                                      std::size_t max_records,
                                      Duration wait) {
  const internal::HttpCall call{web::http::methods::GET,
                                ReadPath(stream, from, max_records, wait), "",
                                wait + this->settings.read_timeout};
  const Result<internal::HttpAnswer> answer =
      internal::Exchange(this->client, this->clock, call);
  if (!answer.has_value()) {
    return internal::WithoutEffect(answer.error());
  }
  if (answer.value().status == kHttpGone) {
    return internal::UnexpectedStatus(ErrorCode::kExpired, answer.value());
  }
  if (answer.value().status != kHttpOk) {
    return internal::UnexpectedStatus(ErrorCode::kUnavailable, answer.value());
  }
  Result<LogBatch> batch = DecodeJson<LogBatch>(answer.value().body);
  if (!batch.has_value()) {
    return MakeError(ErrorCode::kUnavailable, batch.error().message);
  }
  return batch;
}

}  // namespace kumquatcart
