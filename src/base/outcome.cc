#include "base/outcome.h"

namespace kumquatcart {

const char* ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknown:
      return "unknown";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kExpired:
      return "expired";
    case ErrorCode::kExhausted:
      return "exhausted";
    case ErrorCode::kPermissionDenied:
      return "permission_denied";
    case ErrorCode::kCancelled:
      return "cancelled";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::ostream& operator<<(std::ostream& out, const Error& error) {
  return out << ToString(error.code) << ": " << error.message;
}

}  // namespace kumquatcart
