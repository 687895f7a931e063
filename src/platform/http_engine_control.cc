#include "platform/http_engine_control.h"

#include <string>

#include "base/json.h"
#include "net/http_status.h"
#include "platform/http_exchange.h"
#include "platform/platform_constants.h"

namespace kumquatcart {

namespace {

Result<EngineStatus> DecodeStatus(const std::string& body, ErrorCode failure) {
  Result<EngineStatus> status = DecodeJson<EngineStatus>(body);
  if (!status.has_value()) {
    return MakeError(failure, status.error().message);
  }
  return status;
}

}  // namespace

HttpEngineControl::HttpEngineControl(Clock* clock) : clock(clock) {}

std::shared_ptr<HttpEngineControl::Client> HttpEngineControl::ClientOf(
    const Endpoint& endpoint) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::shared_ptr<Client>& client = this->clients[endpoint];
  if (client == nullptr) {
    client =
        std::make_shared<Client>(web::uri("http://" + endpoint.ToString()));
  }
  return client;
}

void HttpEngineControl::Drop(const Endpoint& endpoint,
                             const std::shared_ptr<Client>& client) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->clients.find(endpoint);
  if (found != this->clients.end() && found->second == client) {
    this->clients.erase(found);
  }
}

Result<EngineStatus> HttpEngineControl::FetchStatus(const Endpoint& endpoint,
                                                    Duration timeout) {
  const std::shared_ptr<Client> client = this->ClientOf(endpoint);
  const internal::HttpCall call{web::http::methods::GET, kEngineStatusPath, "",
                                timeout};
  const Result<internal::HttpAnswer> answer =
      internal::Exchange(*client, this->clock, call);
  if (!answer.has_value()) {
    this->Drop(endpoint, client);
  }
  BOOST_OUTCOME_TRY(body, internal::BodyOfRead(answer));
  return DecodeStatus(body, ErrorCode::kUnavailable);
}

Result<EngineStatus> HttpEngineControl::SendOrder(const Endpoint& endpoint,
                                                  const EngineOrder& order,
                                                  Duration timeout) {
  const std::shared_ptr<Client> client = this->ClientOf(endpoint);
  const internal::HttpCall call{web::http::methods::POST, kEngineOrdersPath,
                                Json(order).dump(), timeout};
  const Result<internal::HttpAnswer> answer =
      internal::Exchange(*client, this->clock, call);
  if (!answer.has_value()) {
    this->Drop(endpoint, client);
    return internal::WithEffect(answer.error());
  }
  const int status = answer.value().status;
  if (status == kHttpConflict) {
    return internal::UnexpectedStatus(ErrorCode::kConflict, answer.value());
  }
  if (status == kHttpServiceUnavailable) {
    return internal::UnexpectedStatus(ErrorCode::kUnavailable, answer.value());
  }
  if (status >= kHttpInternalServerError) {
    return internal::UnexpectedStatus(ErrorCode::kUnknown, answer.value());
  }
  if (status != kHttpOk) {
    return internal::UnexpectedStatus(ErrorCode::kUnavailable, answer.value());
  }
  return DecodeStatus(answer.value().body, ErrorCode::kUnknown);
}

Status HttpEngineControl::ProbeService(const Endpoint& endpoint,
                                       Duration timeout) {
  const std::shared_ptr<Client> client = this->ClientOf(endpoint);
  const internal::HttpCall call{web::http::methods::GET, kServiceProbePath, "",
                                timeout};
  const Result<internal::HttpAnswer> answer =
      internal::Exchange(*client, this->clock, call);
  if (!answer.has_value()) {
    this->Drop(endpoint, client);
  }
  BOOST_OUTCOME_TRYV(internal::BodyOfRead(answer));
  return Ok();
}

}  // namespace kumquatcart
