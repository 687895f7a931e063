// HTTP client with pooled connections.
#ifndef NET_HTTP_CLIENT_H_
#define NET_HTTP_CLIENT_H_

#include <optional>
#include <string>

#include "net/connection_pool.h"
#include "net/http_head.h"
#include "net/net_constants.h"
#include "net/response_parser.h"

namespace kumquatcart {

// Outcome of an exchange.
enum class ExchangeResult {
  kAnswered,  // A complete response was received.
  kNotSent,   // No connection was established; no byte was sent.
  kNoAnswer,  // The request was queued for sending, but the connection ended
              // or failed, or the response was invalid.
  kTimedOut,  // The request was queued for sending, but the deadline passed
              // first.
};

// Lower-case name for logs. Thread safe.
const char* ToString(ExchangeResult result);

struct HttpResponse {
  ExchangeResult result = ExchangeResult::kNotSent;
  int status = 0;
  HeaderList headers;
  std::string body;
  // Body bytes received before a failure.
  std::size_t partial_body_bytes = 0;
  // Whether the connection had carried earlier requests.
  bool on_kept_connection = false;

  bool HasResponseStatus(int expected) const {
    return this->result == ExchangeResult::kAnswered &&
           this->status == expected;
  }
};

// Sends requests over pooled connections. Must be used on the event loop's
// thread.
class HttpClient {
 public:
  // Responses with more than `max_body_bytes` of body count as invalid, and so
  // do large ones while the responses in progress exceed
  // kMaxAllResponseBodyBytes.
  explicit HttpClient(EventLoop* loop,
                      std::size_t max_body_bytes = kMaxResponseBodyBytes)
      : loop(loop), max_body_bytes(max_body_bytes), pool(loop) {}

  // Sends one request and waits for the whole response until `deadline`. Reuses
  // a connection only if it has been idle for at most `max_idle`. Never
  // retries.
  HttpResponse Exchange(const TcpEndpoint& endpoint,
                        const OutgoingRequest& request,
                        MonotonicTime deadline,
                        Duration max_idle,
                        Coroutine yield);

  // As Exchange, on a connection that carries no other request, so that no
  // answer to another request can arrive on it.
  HttpResponse ExchangeOnNewConnection(const TcpEndpoint& endpoint,
                                       const OutgoingRequest& request,
                                       MonotonicTime deadline,
                                       Coroutine yield);

  // As Exchange, for servers that may repeat earlier responses and that echo
  // the header field `id_field`. Skips responses to other requests. A response
  // without the field is accepted only as the first one of a new connection,
  // which is not reused then. Precondition: `request` has the field, with a
  // value that no other request to the endpoint has.
  HttpResponse ExchangeWithId(const TcpEndpoint& endpoint,
                              const OutgoingRequest& request,
                              const std::string& id_field,
                              MonotonicTime deadline,
                              Duration max_idle,
                              Coroutine yield);

  // Closes the pooled connections to `endpoint`.
  void CloseIdle(const TcpEndpoint& endpoint) {
    this->pool.CloseIdle(endpoint);
  }

  // Closes pooled connections that can no longer be reused.
  void PruneIdle() { this->pool.CloseUnusable(); }

 private:
  struct Call {
    TcpEndpoint endpoint;
    const OutgoingRequest* request = nullptr;
    MonotonicTime deadline;
    std::optional<Duration> max_idle;  // None: only on a new connection.
    std::string id_field;              // Empty: responses name no request.
  };

  HttpResponse Run(const Call& call, Coroutine yield);
  // Sets `is_sent` before the first byte of the request is sent.
  void RunExchange(const Call& call,
                   HttpResponse* reply,
                   bool* is_sent,
                   Coroutine yield);
  // Waits for the response to the call's request, which has been sent. Returns
  // whether the connection can be reused.
  bool Receive(const Call& call,
               bool is_reused,
               Waiter* waiter,
               TcpConnection* connection,
               HttpResponse* reply,
               Coroutine yield);
  // Waits for the next whole response until `deadline`.
  ResponseState ReceiveOne(MonotonicTime deadline,
                           Waiter* waiter,
                           TcpConnection* connection,
                           ResponseParser* response,
                           Coroutine yield);
  // Whether a body with `body_bytes` so far may grow further.
  bool MayBuffer(std::size_t body_bytes) const;

  EventLoop* const loop;
  const std::size_t max_body_bytes;
  std::size_t buffered_body_bytes = 0;  // Of the exchanges in progress.
  ConnectionPool pool;
};

}  // namespace kumquatcart

#endif  // NET_HTTP_CLIENT_H_
