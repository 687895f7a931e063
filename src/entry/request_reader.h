// Reads HTTP requests from a connection with size limits and timeouts.
#ifndef ENTRY_REQUEST_READER_H_
#define ENTRY_REQUEST_READER_H_

#include <functional>
#include <optional>
#include <string>

#include "entry/request_memory.h"
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
  bool accepts_chunks = true;  // False for HTTP/1.0.
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
  kNoMemory,  // Refused, or ended, to keep within the memory of the process.
};

struct RequestReadResult {
  RequestReadStatus result = RequestReadStatus::kClosed;
  // For kRequest; for kNoMemory without the body.
  ParsedRequest request;
  MemoryLease memory;         // For kRequest: of the body and its copy.
  MonotonicTime received_at;  // Arrival of the first byte of the request.
  // For kClosed before the first byte.
  IdleCloseCause cause = IdleCloseCause::kCaller;
  Duration idle_time{0};
};

// Waits for the next request. Must be used on the event loop's thread.
class RequestReader {
 public:
  // Returns the limits in force.
  using LimitsSource = std::function<CallerLimits()>;

  // `memory` limits what the bodies of requests hold; null: nothing does.
  RequestReader(EventLoop* loop,
                TcpConnection* connection,
                Waiter* waiter,
                LimitsSource limits,
                RequestMemory* memory = nullptr)
      : loop(loop),
        connection(connection),
        waiter(waiter),
        limits(std::move(limits)),
        memory(memory) {}

  // `should_close` is checked while the connection is idle; true ends the wait
  // with kClosed. A longer idle timeout holds from the next notification of the
  // waiter on; a shorter one does not end a wait that has begun.
  RequestReadResult Read(const bool* should_close, Coroutine yield);

 private:
  // Whether input of a request has arrived. Drops one empty line before it,
  // which some callers send after a body (RFC 9112, section 2.2).
  bool HasRequestInput();
  // Returns why the connection must be closed, or nothing once input of a
  // request is available.
  std::optional<IdleCloseCause> WaitForFirstByte(const bool* should_close,
                                                 Coroutine yield);

  EventLoop* const loop;
  TcpConnection* const connection;
  Waiter* const waiter;
  const LimitsSource limits;
  RequestMemory* const memory;
  bool has_dropped_line = false;  // Before the next request.
};

}  // namespace kumquatcart

#endif  // ENTRY_REQUEST_READER_H_
