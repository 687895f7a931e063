// Error handling without exceptions: operations that can fail return a Result.
#ifndef BASE_OUTCOME_H_
#define BASE_OUTCOME_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <tuple>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include "base/comparable.h"

namespace kumquatcart {

// Category of an Error. Callers branch on the code; the message is for users.
enum class ErrorCode {
  kInvalidArgument,  // The input violates a documented rule.
  kNotFound,         // The requested item does not exist.
  kConflict,  // The state changed concurrently, or a fencing number is too old.
  kUnavailable,  // The peer is certain not to have acted on the request.
  kUnknown,      // The peer may or may not have acted on the request.
  kTimeout,      // No response before the deadline; the effect is unknown.
  kExpired,      // The requested records are older than the retention period.
  kExhausted,    // A limit is reached; a later retry may succeed.
  kPermissionDenied,
  kCancelled,
  kInternal,
};

// Returns the lower-case name of `code`, as used in logs and JSON. Thread safe.
const char* ToString(ErrorCode code);

// A failure with a message for the user. Immutable value.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  // Delay in milliseconds before a retry if the cause is overload. Zero means
  // that no delay is suggested.
  std::int64_t retry_after_ms = 0;

  auto Tie() const {
    return std::tie(this->code, this->message, this->retry_after_ms);
  }
};

std::ostream& operator<<(std::ostream& out, const Error& error);

// A value of type T or an Error. Reading the value of a failed Result violates
// an invariant and terminates the process; check has_value() first.
template <class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

// Success or an Error.
using Status = Result<void>;

// The successful Status.
inline Status Ok() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// Creates an Error, which converts to any Result.
inline Error MakeError(ErrorCode code, std::string message) {
  return Error{code, std::move(message), 0};
}

}  // namespace kumquatcart

#endif  // BASE_OUTCOME_H_
