// HTTP client with pooled connections.
#ifndef NET_HTTP_CLIENT_H_
#define NET_HTTP_CLIENT_H_

#include <string>

#include "net/connection_pool.h"
#include "net/http_head.h"
#include "net/net_constants.h"

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

  bool HasResponseStatus(int expected) const {
    return this->result == ExchangeResult::kAnswered &&
           this->status == expected;
  }
};

// Sends requests over pooled connections. Must be used on the event loop's
// thread.
class HttpClient {
 public:
  // Responses with more than `max_body_bytes` of body count as invalid.
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

  // Closes the pooled connections to `endpoint`.
  void CloseIdle(const TcpEndpoint& endpoint) {
    this->pool.CloseIdle(endpoint);
  }

  // Closes pooled connections that can no longer be reused.
  void PruneIdle() { this->pool.CloseUnusable(); }

 private:
  EventLoop* const loop;
  const std::size_t max_body_bytes;
  ConnectionPool pool;
};

}  // namespace kumquatcart

#endif  // NET_HTTP_CLIENT_H_
