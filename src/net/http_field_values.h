// Values of HTTP requests, compared by their meaning (RFC 9110, RFC 9112).
#ifndef NET_HTTP_FIELD_VALUES_H_
#define NET_HTTP_FIELD_VALUES_H_

#include <string>
#include <string_view>

namespace kumquatcart {

// The host of an authority, `host[:port]`, in the one form in which hosts are
// compared: lower case, without the port. Keeps the brackets of an IPv6
// address. Thread safe.
std::string NormalizeHost(std::string_view authority);

// The token of bearer credentials, the value of an Authorization field; empty
// if there is none or they are of another scheme. Thread safe.
std::string_view BearerToken(std::string_view credentials);

}  // namespace kumquatcart

#endif  // NET_HTTP_FIELD_VALUES_H_
