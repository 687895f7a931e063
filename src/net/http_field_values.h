// Values of HTTP requests, compared by their meaning (RFC 9110, RFC 9112).
#ifndef NET_HTTP_FIELD_VALUES_H_
#define NET_HTTP_FIELD_VALUES_H_

#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace kumquatcart {

// The host of an authority, `host[:port]`, in the one form in which hosts are
// compared: lower case, without the port. Keeps the brackets of an IPv6
// address. Thread safe.
std::string NormalizeHost(std::string_view authority);

// The token of bearer credentials, the value of an Authorization field; empty
// if there is none or they are of another scheme. Thread safe.
std::string_view BearerToken(std::string_view credentials);

// The parts of a request's target.
struct RequestTarget {
  std::string authority;  // Empty where the target names none.
  std::string path;       // With the query; begins with a slash.

  auto Tie() const { return std::tie(this->authority, this->path); }
};

// Splits a target in origin form, `/path?query`, or in absolute form,
// `http://host:port/path?query`. None for any other form, and for an authority
// that names a user. Thread safe.
std::optional<RequestTarget> ParseTarget(std::string_view target);

}  // namespace kumquatcart

#endif  // NET_HTTP_FIELD_VALUES_H_
