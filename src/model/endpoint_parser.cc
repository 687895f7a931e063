#include "model/endpoint_parser.h"

#include <charconv>
#include <sstream>

#include <boost/asio/ip/address.hpp>

namespace kumquatcart {

namespace {

// Longer than any endpoint. Bounds an error's message.
constexpr std::size_t kMaxQuotedBytes = 80;

}  // namespace

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const Error error =
      MakeError(ErrorCode::kInvalidArgument,
                "'" + text.substr(0, kMaxQuotedBytes) +
                    "' must be a numeric IP address and a port, such as "
                    "127.0.0.1:8080");
  const std::size_t colon = text.rfind(':');
  // The library reads an address up to the first zero byte.
  if (colon == std::string::npos || text.find('\0') != std::string::npos) {
    return error;
  }
  Endpoint endpoint;
  endpoint.host = text.substr(0, colon);
  const char* const end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data() + colon + 1, end, endpoint.port);
  boost::system::error_code failed;
  boost::asio::ip::make_address(endpoint.host, failed);
  if (parsed.ec != std::errc() || parsed.ptr != end || failed) {
    return error;
  }
  return endpoint;
}

Result<std::vector<Endpoint>> ParseEndpoints(const std::string& text) {
  std::vector<Endpoint> endpoints;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    BOOST_OUTCOME_TRY(endpoint, ParseEndpoint(part));
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

}  // namespace kumquatcart
