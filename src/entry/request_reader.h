// Reads HTTP requests from a connection within size and time limits.
#ifndef ENTRY_REQUEST_READER_H_
#define ENTRY_REQUEST_READER_H_

#include <optional>
#include <string>

#include "model/routing_config.h"
#include "net/http_head.h"
#include "net/tcp_connection.h"

namespace kumquatcart {

struct ParsedRequest {
  std::string method;
  std::string target;
  HeaderList headers;
  std::string body;
  bool keeps_connection = true;
};

// Why a connection without a request in progress is closed.
enum class IdleCloseCause { kCaller, kIdleTimeout, kStop };

// Lower-case name for logs. Thread safe.
const char* ToString(IdleCloseCause cause);

enum class RequestReadStatus {
  kRequest,
  kClosed,    // Closed by the caller, idle timeout or `should_close`.
  kTimedOut,  // The request began but was not complete in time.
  kBadRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
};

struct RequestReadResult {
  RequestReadStatus result = RequestReadStatus::kClosed;
  ParsedRequest request;      // For kRequest.
  MonotonicTime received_at;  // Arrival of the first byte of the request.
  // For kClosed before the first byte.
  IdleCloseCause cause = IdleCloseCause::kCaller;
  Duration idle_time{0};
};

// Waits for the next request. `should_close` is checked while the connection is
// idle; true ends the wait with kClosed. Must be used on the event loop's
// thread.
class RequestReader {
 public:
  RequestReader(EventLoop* loop, TcpConnection* connection, Waiter* waiter)
      : loop(loop), connection(connection), waiter(waiter) {}

  RequestReadResult Read(const CallerLimits& limits,
                         const bool* should_close,
                         Coroutine yield);

 private:
  // Returns why the connection must be closed, or nothing once input is
  // available.
  std::optional<IdleCloseCause> WaitForFirstByte(const CallerLimits& limits,
                                                 const bool* should_close,
                                                 Coroutine yield);

  EventLoop* const loop;
  TcpConnection* const connection;
  Waiter* const waiter;
};

}  // namespace kumquatcart

#endif  // ENTRY_REQUEST_READER_H_
