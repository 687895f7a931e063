#include "net/http_client.h"

#include <string_view>
#include <utility>

#include "base/scope_guard.h"

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
  Waiter waiter(this->loop);
  ConnectionPtr connection =
      call.max_idle ? this->pool.TakeIdle(call.endpoint, *call.max_idle)
                    : nullptr;
  const bool is_reused = connection != nullptr;
  if (!is_reused) {
    connection = std::make_shared<TcpConnection>(this->loop);
    if (!connection->Connect(call.endpoint, call.deadline, &waiter, yield)) {
      connection->SetWaiter(nullptr);
      return FailedReply(ExchangeResult::kNotSent);
    }
  }
  connection->SetWaiter(&waiter);
  connection->Send(
      SerializeRequest(WithHostHeader(*call.request, call.endpoint)));
  PendingRead read{this->loop->Now(), connection.get()};
  const ScopeGuard guard([this, &read] { this->pending_reads.erase(&read); });
  if (call.request->method == "GET") {
    this->pending_reads.insert(&read);
  }
  HttpResponse reply;
  const bool is_reusable =
      this->Receive(call, is_reused, &waiter, connection.get(), &reply, yield);
  reply.on_kept_connection = is_reused;
  reply.was_abandoned = read.is_abandoned;
  connection->SetWaiter(nullptr);
  if (is_reusable) {
    this->pool.ReturnConnection(call.endpoint, std::move(connection),
                                kPoolIdleTimeout);
  } else {
    connection->Close();
  }
  return reply;
}

int HttpClient::AbandonReads(MonotonicTime sent_before) {
  int count = 0;
  for (PendingRead* read : this->pending_reads) {
    if (read->sent_at < sent_before && !read->connection->HasEnded()) {
      read->is_abandoned = true;
      read->connection->Abort();
      ++count;
    }
  }
  return count;
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
  ResponseState state = response->ParseAvailable(connection);
  bool in_time = true;
  while (state == ResponseState::kIncomplete && in_time) {
    in_time = waiter->WaitUntil(deadline, yield);
    state = response->ParseAvailable(connection);
    if (response->BufferedBodyBytes() > this->max_body_bytes) {
      state = ResponseState::kParseFailed;
    }
  }
  return state;
}

}  // namespace kumquatcart
