// Heads of HTTP/1.1 messages as plain values.
#ifndef NET_HTTP_HEAD_H_
#define NET_HTTP_HEAD_H_

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/comparable.h"

namespace kumquatcart {

// One header line. Names compare without regard to case in FindHeader.
struct HeaderField {
  std::string name;
  std::string value;

  auto Tie() const { return std::tie(this->name, this->value); }
};
using HeaderList = std::vector<HeaderField>;

// Whether two ASCII texts are equal without regard to case. Thread safe.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// Value of the first field of that name; empty where there is none. Thread
// safe.
std::string_view FindHeader(const HeaderList& headers, std::string_view name);

// A whole request.
struct OutgoingRequest {
  std::string method;
  std::string target;
  HeaderList headers;
  std::string body;

  auto Tie() const {
    return std::tie(this->method, this->target, this->headers, this->body);
  }
};

// Bytes of a request, with Content-Length where the method may carry a body.
// Precondition: `headers` holds no framing fields. Thread safe.
std::string SerializeRequest(const OutgoingRequest& request);

// Bytes of a response head, up to and with the empty line. Thread safe.
std::string SerializeResponseHead(int status, const HeaderList& headers);

// One chunk of a chunked body; empty `bytes` give the last chunk. Thread safe.
std::string SerializeChunk(std::string_view bytes);

}  // namespace kumquatcart

#endif  // NET_HTTP_HEAD_H_
