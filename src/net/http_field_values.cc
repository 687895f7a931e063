#include "net/http_field_values.h"

#include <algorithm>
#include <locale>

#include <boost/algorithm/string/case_conv.hpp>

#include "net/http_head.h"

namespace kumquatcart {

std::string NormalizeHost(std::string_view authority) {
  const std::size_t address_end =
      authority.substr(0, 1) == "[" ? authority.find(']') : 0;
  const std::size_t port = authority.find(
      ':', address_end == std::string_view::npos ? 0 : address_end);
  return boost::algorithm::to_lower_copy(std::string(authority.substr(0, port)),
                                         std::locale::classic());
}

std::string_view BearerToken(std::string_view credentials) {
  const std::size_t scheme_end = credentials.find(' ');
  if (scheme_end == std::string_view::npos ||
      !EqualsIgnoringCase(credentials.substr(0, scheme_end), "bearer")) {
    return {};
  }
  const std::size_t token = credentials.find_first_not_of(' ', scheme_end);
  return token == std::string_view::npos ? std::string_view()
                                         : credentials.substr(token);
}

std::optional<RequestTarget> ParseTarget(std::string_view target) {
  if (target.substr(0, 1) == "/") {
    return RequestTarget{{}, std::string(target)};
  }
  constexpr std::string_view kSchemeEnd = "://";
  const std::size_t scheme_end = target.find(kSchemeEnd);
  const std::string_view scheme = target.substr(0, scheme_end);
  if (scheme_end == std::string_view::npos ||
      (!EqualsIgnoringCase(scheme, "http") &&
       !EqualsIgnoringCase(scheme, "https"))) {
    return std::nullopt;
  }
  target.remove_prefix(scheme_end + kSchemeEnd.size());
  const std::size_t authority_end =
      std::min(target.find_first_of("/?#"), target.size());
  const std::string_view authority = target.substr(0, authority_end);
  const std::string_view path = target.substr(authority_end);
  if (authority.empty() || authority.find('@') != std::string_view::npos ||
      path.find('#') != std::string_view::npos) {
    return std::nullopt;
  }
  RequestTarget parsed{std::string(authority), std::string(path)};
  if (path.substr(0, 1) != "/") {  // The path is empty.
    parsed.path.insert(0, "/");
  }
  return parsed;
}

}  // namespace kumquatcart
