#include "gateway/http_types.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <boost/algorithm/string/predicate.hpp>

namespace kumquatcart {

namespace {

constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
};

}  // namespace

std::string FindHeader(const HttpHeaders& headers, const std::string& name) {
  const auto found =
      std::find_if(headers.begin(), headers.end(), [&](const HttpHeader& h) {
        return boost::algorithm::iequals(h.name, name);
      });
  return found == headers.end() ? std::string() : found->value;
}

bool IsHopByHopHeader(const std::string& name) {
  return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                     [&](std::string_view hop_by_hop) {
                       return boost::algorithm::iequals(name, hop_by_hop);
                     });
}

}  // namespace kumquatcart
