#include "net/http_client.h"

#include "net/response_parser.h"

namespace kumquatcart {

namespace {

// Maximum idle time of a pooled connection. Shorter than the usual idle timeout
// of a server, which responses do not necessarily announce.
constexpr std::chrono::seconds kPoolIdleTimeout{4};

OutgoingRequest WithHostHeader(OutgoingRequest request,
                               const TcpEndpoint& endpoint) {
  if (FindHeader(request.headers, "Host").empty()) {
    request.headers.push_back({"Host", endpoint.address().to_string() + ":" +
                                           std::to_string(endpoint.port())});
  }
  return request;
}

HttpResponse FailedReply(ExchangeResult result) {
  HttpResponse reply;
  reply.result = result;
  return reply;
}

}  // namespace

const char* ToString(ExchangeResult result) {
  switch (result) {
    case ExchangeResult::kAnswered:
      return "answered";
    case ExchangeResult::kNotSent:
      return "not_sent";
    case ExchangeResult::kNoAnswer:
      return "no_answer";
    case ExchangeResult::kTimedOut:
      return "timed_out";
  }
  return "not_sent";
}

HttpResponse HttpClient::Exchange(const TcpEndpoint& endpoint,
                                  const OutgoingRequest& request,
                                  MonotonicTime deadline,
                                  Duration max_idle,
                                  Coroutine yield) {
  Waiter waiter(this->loop);
  ConnectionPtr connection = this->pool.TakeIdle(endpoint, max_idle);
  if (connection == nullptr) {
    connection = std::make_shared<TcpConnection>(this->loop);
    if (!connection->Connect(endpoint, deadline, &waiter, yield)) {
      connection->SetWaiter(nullptr);
      return FailedReply(ExchangeResult::kNotSent);
    }
  }
  connection->SetWaiter(&waiter);
  connection->Send(SerializeRequest(WithHostHeader(request, endpoint)));
  ResponseParser response(request.method == "HEAD");
  ResponseState state = response.ParseAvailable(connection.get());
  bool in_time = true;
  while (state == ResponseState::kIncomplete && in_time) {
    in_time = waiter.WaitUntil(deadline, yield);
    state = response.ParseAvailable(connection.get());
    if (response.BufferedBodyBytes() > this->max_body_bytes) {
      state = ResponseState::kParseFailed;
    }
  }
  connection->SetWaiter(nullptr);
  if (state != ResponseState::kComplete) {
    connection->Close();
    HttpResponse failed = FailedReply(state == ResponseState::kParseFailed
                                          ? ExchangeResult::kNoAnswer
                                          : ExchangeResult::kTimedOut);
    failed.partial_body_bytes = response.BufferedBodyBytes();
    return failed;
  }
  HttpResponse reply;
  reply.result = ExchangeResult::kAnswered;
  reply.status = response.Status();
  reply.headers = response.Headers();
  reply.body = response.TakeBody();
  if (response.IsKeepAlive() && connection->UnsentBytes() == 0) {
    this->pool.ReturnConnection(endpoint, std::move(connection),
                                kPoolIdleTimeout);
  } else {
    connection->Close();
  }
  return reply;
}

}  // namespace kumquatcart
