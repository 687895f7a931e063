// Plain values of the HTTP exchanges between gateway and backend servers.
#ifndef GATEWAY_HTTP_TYPES_H_
#define GATEWAY_HTTP_TYPES_H_

#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "model/vm.h"
#include "net/http_head.h"

namespace kumquatcart {

// One header of a request or answer.
struct HttpHeader {
  std::string name;
  std::string value;

  auto Tie() const { return std::tie(this->name, this->value); }
};
using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of the header `name`, compared without regard to case, or
// an empty string.
std::string FindHeader(const HttpHeaders& headers, const std::string& name);

// Whether a proxy must not pass on the header `name` (RFC 9110, 7.6.1), or the
// gateway sets it itself.
bool IsHopByHopHeader(const std::string& name);

// What is sent to a backend server.
struct UpstreamRequest {
  Endpoint endpoint;
  std::string method;
  std::string path_and_query;
  HttpHeaders headers;
  std::string content_type;
  std::string body;
  // Opens a connection of its own. The HTTP library repeats a request by itself
  // when a reused connection turns out to be closed.
  bool fresh_connection = false;

  auto Tie() const {
    return std::tie(this->endpoint, this->method, this->path_and_query,
                    this->headers, this->content_type, this->body,
                    this->fresh_connection);
  }
};

// Status line and headers of an answer.
struct UpstreamAnswerHead {
  int status = 0;
  HttpHeaders headers;
  ResponseFraming framing = ResponseFraming::kNone;

  auto Tie() const {
    return std::tie(this->status, this->headers, this->framing);
  }
};

}  // namespace kumquatcart

#endif  // GATEWAY_HTTP_TYPES_H_
