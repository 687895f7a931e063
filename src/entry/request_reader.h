// Reads one request from a connection, within limits.
#ifndef ENTRY_REQUEST_READER_H_
#define ENTRY_REQUEST_READER_H_

#include <optional>
#include <string>

#include "model/routing_config.h"
#include "net/http_head.h"
#include "net/tcp_connection.h"

namespace kumquatcart {

struct ReadRequest {
  std::string method;
  std::string target;
  HeaderList headers;
  std::string body;
  bool keeps_connection = true;
};

enum class ReadResult {
  kRequest,
  kClosed,    // The caller closed, or was idle too long, between requests.
  kTimedOut,  // Too slow once it had begun.
  kBadRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
};

struct ReadOutcome {
  ReadResult result = ReadResult::kClosed;
  ReadRequest request;        // For kRequest.
  MonotonicTime received_at;  // First byte of the request.
};

// Waits for the next request. `should_close` is asked while the connection is
// idle; true ends it. For the event loop's thread.
class RequestReader {
 public:
  RequestReader(EventLoop* loop, TcpConnection* connection, Waiter* waiter)
      : loop(loop), connection(connection), waiter(waiter) {}

  ReadOutcome Read(const CallerLimits& limits,
                   const bool* should_close,
                   Coroutine yield);

 private:
  bool WaitForFirstByte(const CallerLimits& limits,
                        const bool* should_close,
                        Coroutine yield);

  EventLoop* const loop;
  TcpConnection* const connection;
  Waiter* const waiter;
};

}  // namespace kumquatcart

#endif  // ENTRY_REQUEST_READER_H_
