#include "net/http_field_values.h"

#include <locale>

#include <boost/algorithm/string/case_conv.hpp>

namespace kumquatcart {

std::string NormalizeHost(std::string_view authority) {
  const std::size_t address_end =
      authority.substr(0, 1) == "[" ? authority.find(']') : 0;
  const std::size_t port = authority.find(
      ':', address_end == std::string_view::npos ? 0 : address_end);
  return boost::algorithm::to_lower_copy(std::string(authority.substr(0, port)),
                                         std::locale::classic());
}

}  // namespace kumquatcart
