#include "net/http_head.h"

#include <fmt/format.h>
#include <ostream>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

namespace kumquatcart {

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()},
                               {right.data(), right.size()});
}

std::string_view FindHeader(const HeaderList& headers, std::string_view name) {
  for (const HeaderField& field : headers) {
    if (EqualsIgnoringCase(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

const char* ToString(ResponseFraming framing) {
  constexpr const char* kNames[] = {"none", "length", "chunked", "connection"};
  return kNames[static_cast<int>(framing)];
}

std::string SerializeRequest(const OutgoingRequest& request) {
  std::string bytes =
      fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
  for (const HeaderField& field : request.headers) {
    fmt::format_to(std::back_inserter(bytes), "{}: {}\r\n", field.name,
                   field.value);
  }
  if (!request.body.empty() ||
      (request.method != "GET" && request.method != "HEAD")) {
    fmt::format_to(std::back_inserter(bytes), "Content-Length: {}\r\n",
                   request.body.size());
  }
  bytes += "\r\n";
  bytes += request.body;
  return bytes;
}

std::string SerializeResponseHead(int status, const HeaderList& headers) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  std::string bytes =
      fmt::format("HTTP/1.1 {} {}\r\n", status,
                  std::string_view(reason.data(), reason.size()));
  for (const HeaderField& field : headers) {
    fmt::format_to(std::back_inserter(bytes), "{}: {}\r\n", field.name,
                   field.value);
  }
  bytes += "\r\n";
  return bytes;
}

std::string SerializeChunk(std::string_view bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

}  // namespace kumquatcart
