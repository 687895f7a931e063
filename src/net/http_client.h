// Whole request and response exchanges with one server.
#ifndef NET_HTTP_CLIENT_H_
#define NET_HTTP_CLIENT_H_

#include <string>

#include "net/connection_pool.h"
#include "net/http_head.h"

namespace kumquatcart {

// How far an exchange came.
enum class ExchangeResult {
  kAnswered,  // A whole response was read.
  kNotSent,   // No connection was made; the server has seen nothing.
  kNoAnswer,  // Sent, and the connection ended or broke.
  kTimedOut,  // Sent, and the deadline passed.
};

// Lower-case name for logs. Thread safe.
const char* ToString(ExchangeResult result);

struct HttpReply {
  ExchangeResult result = ExchangeResult::kNotSent;
  int status = 0;
  HeaderList headers;
  std::string body;

  bool Is(int expected) const {
    return this->result == ExchangeResult::kAnswered &&
           this->status == expected;
  }
};

// Sends requests over kept connections. For the event loop's thread.
class HttpClient {
 public:
  explicit HttpClient(EventLoop* loop) : loop(loop), pool(loop) {}

  // One exchange, ended by `deadline` at the latest. A connection is reused
  // only if it has been idle for less than `max_idle`. Nothing is repeated.
  HttpReply Exchange(const TcpEndpoint& endpoint,
                     const OutgoingRequest& request,
                     MonotonicTime deadline,
                     Duration max_idle,
                     Coroutine yield);

  void PruneIdle() { this->pool.Prune(); }

 private:
  EventLoop* const loop;
  ConnectionPool pool;
};

}  // namespace kumquatcart

#endif  // NET_HTTP_CLIENT_H_
