// One blocking HTTP request whose answer is seen piece by piece.
//
// Uses Boost.Beast: cpprestsdk's client repeats a request by itself when a
// reused connection closes, which would count as a double execution here.
#ifndef LOAD_HTTP_CALL_H_
#define LOAD_HTTP_CALL_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"
#include "model/vm.h"

namespace kumquatcart::load {

struct CallHeader {
  std::string name;
  std::string value;
};

struct CallRequest {
  Endpoint endpoint;
  std::string method;
  std::string target;
  std::vector<CallHeader> headers;
  std::string body;
  Duration timeout{};  // Of each step: connect, send, each piece of the answer.
};

// What came back, whole or not.
struct CallAnswer {
  int status = 0;       // Zero: no status line came.
  std::string outcome;  // Header Kumquatcart-Outcome.
  std::string request_id;
  std::string body;
  bool whole = false;  // The body ended as HTTP says it should.
};

// Sends the request on a connection of its own. `on_body` is called with the
// body so far each time it grows. Errors: kUnavailable when no connection could
// be made; what breaks later shows as an answer that is not whole. Thread safe.
Result<CallAnswer> Call(
    const CallRequest& request,
    const std::function<void(std::string_view body)>& on_body);

}  // namespace kumquatcart::load

#endif  // LOAD_HTTP_CALL_H_
