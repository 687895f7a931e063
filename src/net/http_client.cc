#include "net/http_client.h"

#include <string_view>
#include <utility>

#include "base/scope_guard.h"
#include "net/failure_boundary.h"

namespace kumquatcart {

namespace {

// Maximum idle time of a pooled connection. Shorter than the usual idle timeout
// of a server, which responses do not necessarily announce.
constexpr std::chrono::seconds kPoolIdleTimeout{4};

// Responses to other requests that one exchange skips.
constexpr int kMaxSkippedResponses = 4;

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
  return this->Run({endpoint, &request, deadline, max_idle, /*id_field=*/{}},
                   yield);
}

HttpResponse HttpClient::ExchangeOnNewConnection(const TcpEndpoint& endpoint,
                                                 const OutgoingRequest& request,
                                                 MonotonicTime deadline,
                                                 Coroutine yield) {
  return this->Run({endpoint, &request, deadline, /*max_idle=*/std::nullopt,
                    /*id_field=*/{}},
                   yield);
}

HttpResponse HttpClient::ExchangeWithId(const TcpEndpoint& endpoint,
                                        const OutgoingRequest& request,
                                        const std::string& id_field,
                                        MonotonicTime deadline,
                                        Duration max_idle,
                                        Coroutine yield) {
  return this->Run({endpoint, &request, deadline, max_idle, id_field}, yield);
}

HttpResponse HttpClient::Run(const Call& call, Coroutine yield) {
  HttpResponse reply = FailedReply(ExchangeResult::kNotSent);
  bool is_sent = false;
  if (!ContainFailure(this->loop, "http_exchange", [&] {
        this->RunExchange(call, &reply, &is_sent, yield);
      })) {
    reply = FailedReply(is_sent ? ExchangeResult::kNoAnswer
                                : ExchangeResult::kNotSent);
  }
  return reply;
}

void HttpClient::RunExchange(const Call& call,
                             HttpResponse* reply,
                             bool* is_sent,
                             Coroutine yield) {
  Waiter waiter(this->loop);
  ConnectionPtr connection =
      call.max_idle ? this->pool.TakeIdle(call.endpoint, *call.max_idle)
                    : nullptr;
  const bool is_reused = connection != nullptr;
  if (!is_reused) {
    connection = std::make_shared<TcpConnection>(this->loop);
  }
  ScopeGuard close([&connection] {
    connection->SetWaiter(nullptr);
    connection->Close();
  });
  if (!is_reused &&
      !connection->Connect(call.endpoint, call.deadline, &waiter, yield)) {
    return;
  }
  connection->SetWaiter(&waiter);
  *is_sent = true;
  connection->Send(
      SerializeRequest(WithHostHeader(*call.request, call.endpoint)));
  const bool is_reusable =
      this->Receive(call, is_reused, &waiter, connection.get(), reply, yield);
  reply->on_kept_connection = is_reused;
  if (is_reusable) {
    close.Dismiss();
    connection->SetWaiter(nullptr);
    this->pool.ReturnConnection(call.endpoint, std::move(connection),
                                kPoolIdleTimeout);
  }
}

bool HttpClient::Receive(const Call& call,
                         bool is_reused,
                         Waiter* waiter,
                         TcpConnection* connection,
                         HttpResponse* reply,
                         Coroutine yield) {
  *reply = FailedReply(ExchangeResult::kNoAnswer);
  for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
    ResponseParser response(call.request->method == "HEAD");
    const ResponseState state =
        this->ReceiveOne(call.deadline, waiter, connection, &response, yield);
    if (state != ResponseState::kComplete) {
      reply->result = state == ResponseState::kParseFailed
                          ? ExchangeResult::kNoAnswer
                          : ExchangeResult::kTimedOut;
      reply->partial_body_bytes = response.BufferedBodyBytes();
      return false;
    }
    const std::string_view id =
        call.id_field.empty() ? "" : response.Header(call.id_field);
    if (!id.empty() && id != FindHeader(call.request->headers, call.id_field)) {
      continue;
    }
    const bool is_identified = call.id_field.empty() || !id.empty();
    if (!is_identified && (is_reused || skipped > 0)) {
      return false;  // It may answer another request.
    }
    reply->result = ExchangeResult::kAnswered;
    reply->status = response.Status();
    reply->headers = response.Headers();
    reply->body = response.TakeBody();
    return call.max_idle && is_identified && response.IsKeepAlive() &&
           connection->UnsentBytes() == 0;
  }
  return false;
}

ResponseState HttpClient::ReceiveOne(MonotonicTime deadline,
                                     Waiter* waiter,
                                     TcpConnection* connection,
                                     ResponseParser* response,
                                     Coroutine yield) {
  std::size_t buffered = 0;  // Of this response, as counted in the sum.
  const ScopeGuard guard(
      [this, &buffered] { this->buffered_body_bytes -= buffered; });
  bool in_time = true;
  for (;;) {
    const ResponseState state = response->ParseAvailable(connection);
    this->buffered_body_bytes += response->BufferedBodyBytes() - buffered;
    buffered = response->BufferedBodyBytes();
    if (!this->MayBuffer(buffered)) {
      return ResponseState::kParseFailed;
    }
    if (state != ResponseState::kIncomplete || !in_time) {
      return state;
    }
    in_time = waiter->WaitUntil(deadline, yield);
  }
}

bool HttpClient::MayBuffer(std::size_t body_bytes) const {
  return body_bytes <= this->max_body_bytes &&
         (body_bytes <= kSmallResponseBodyBytes ||
          this->buffered_body_bytes <= kMaxAllResponseBodyBytes);
}

}  // namespace kumquatcart
