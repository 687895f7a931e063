// HTTP/1.1 requests and headers as value types, and their serialization.
#ifndef NET_HTTP_HEAD_H_
#define NET_HTTP_HEAD_H_

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/comparable.h"

namespace kumquatcart {

// One header field. FindHeader compares names case-insensitively.
struct HeaderField {
  std::string name;
  std::string value;

  auto Tie() const { return std::tie(this->name, this->value); }
};
using HeaderList = std::vector<HeaderField>;

// Compares two ASCII strings case-insensitively. Thread safe.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// Returns the value of the first field called `name`, or an empty string if
// there is none. Thread safe.
std::string_view FindHeader(const HeaderList& headers, std::string_view name);

// A complete request.
struct OutgoingRequest {
  std::string method;
  std::string target;
  HeaderList headers;
  std::string body;

  auto Tie() const {
    return std::tie(this->method, this->target, this->headers, this->body);
  }
};

// What determines the end of a response's body.
enum class ResponseFraming {
  kNone,        // There is no body, as for a HEAD request.
  kLength,      // Content-Length.
  kChunked,     // The last chunk.
  kConnection,  // The end of the connection.
};

// Lower-case name for logs. Thread safe.
const char* ToString(ResponseFraming framing);

// Serializes a request. Adds Content-Length unless it is a GET or HEAD request
// without a body. Precondition: `headers` holds neither Content-Length nor
// Transfer-Encoding. Thread safe.
std::string SerializeRequest(const OutgoingRequest& request);

// Serializes a response head, including the final empty line. Thread safe.
std::string SerializeResponseHead(int status, const HeaderList& headers);

// Serializes one chunk of a chunked body. Empty `bytes` yield the last chunk.
// Thread safe.
std::string SerializeChunk(std::string_view bytes);

}  // namespace kumquatcart

#endif  // NET_HTTP_HEAD_H_
