#include "net/http_field_values.h"

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

}  // namespace kumquatcart
