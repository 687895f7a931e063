// One blocking HTTP request with a hard time bound.
#ifndef PLATFORM_HTTP_EXCHANGE_H_
#define PLATFORM_HTTP_EXCHANGE_H_

#include <string>

#include <cpprest/http_client.h>

#include "base/clock.h"
#include "base/outcome.h"

namespace kumquatcart::internal {

// A complete answer, whatever its status code.
struct HttpAnswer {
  int status = 0;
  std::string body;
};

// A request without a body has an empty `body`.
struct HttpCall {
  web::http::method method;
  std::string path;  // With query.
  std::string body;  // JSON text.
  Duration timeout;
};

// Sends `call` and waits for the whole answer. Errors: kUnavailable when no
// connection could be made, so that nothing was sent; kTimeout when the time
// bound passed; kUnknown when the connection broke later. Blocks, so it must
// not run on a library thread. Thread safe.
//
// The library itself repeats a request whose reused connection closes before
// the status line. Callers whose request must reach the other side once at most
// pass a fresh client.
Result<HttpAnswer> Exchange(web::http::client::http_client& client,
                            Clock* clock,
                            const HttpCall& call);

// As above on a connection of its own.
Result<HttpAnswer> ExchangeOnce(const std::string& base_url,
                                Clock* clock,
                                const HttpCall& call);

// For calls without effect: a broken connection is as good as none.
Error WithoutEffect(Error error);

// For calls with an effect: a passed time bound leaves it open.
Error WithEffect(Error error);

// Error for a status code that the protocol does not name.
Error UnexpectedStatus(ErrorCode code, const HttpAnswer& answer);

// Body of the answer to a call that changes nothing. Errors: those of the
// exchange, and kUnavailable for any status but 200. Thread safe.
Result<std::string> BodyOfRead(const Result<HttpAnswer>& answer);

}  // namespace kumquatcart::internal

#endif  // PLATFORM_HTTP_EXCHANGE_H_
