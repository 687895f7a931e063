// HTTP status codes that this program sends or interprets.
#ifndef NET_HTTP_STATUS_H_
#define NET_HTTP_STATUS_H_

namespace kumquatcart {

inline constexpr int kHttpSwitchingProtocols = 101;
inline constexpr int kHttpOk = 200;
inline constexpr int kHttpAccepted = 202;
inline constexpr int kHttpNoContent = 204;
inline constexpr int kHttpNotModified = 304;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpUnauthorized = 401;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpRequestTimeout = 408;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpGone = 410;
inline constexpr int kHttpPreconditionFailed = 412;
inline constexpr int kHttpPayloadTooLarge = 413;
inline constexpr int kHttpMisdirectedRequest = 421;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpRequestHeaderFieldsTooLarge = 431;
inline constexpr int kHttpInternalServerError = 500;
inline constexpr int kHttpBadGateway = 502;
inline constexpr int kHttpServiceUnavailable = 503;
inline constexpr int kHttpGatewayTimeout = 504;

// Whether `status` can end an exchange: 1xx only precede a final status, and
// other values are no HTTP status. Thread safe.
constexpr bool IsFinalStatus(int status) {
  return status >= kHttpOk && status < 600;
}

}  // namespace kumquatcart

#endif  // NET_HTTP_STATUS_H_
