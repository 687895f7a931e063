// Reads a caller's request within bounds.
#ifndef GATEWAY_REQUEST_READER_H_
#define GATEWAY_REQUEST_READER_H_

#include <cstddef>
#include <functional>
#include <string>

#include <cpprest/http_msg.h>

#include "base/outcome.h"
#include "gateway/http_types.h"

namespace kumquatcart {

// The headers of a request or answer as values.
HttpHeaders CopyHeaders(const web::http::http_headers& headers);

// Sum of the sizes of all names and values, in bytes.
std::size_t HeaderBytes(const HttpHeaders& headers);

// Reads the body and calls `done` once, on a thread of the HTTP library.
// Errors: kExhausted when the body is longer than `max_bytes`, kCancelled when
// the caller left in the middle.
void ReadBody(const web::http::http_request& request,
              std::size_t max_bytes,
              std::function<void(Result<std::string>)> done);

}  // namespace kumquatcart

#endif  // GATEWAY_REQUEST_READER_H_
