// Outcomes as values: every operation that can fail returns a Result.
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

// What kind of failure an Error describes. Callers branch on the code, users
// read the message.
enum class ErrorCode {
  kInvalidArgument,  // The input breaks a stated rule.
  kNotFound,         // The named thing does not exist.
  kConflict,  // The state changed under the caller, or a fencing number is too
              // old.
  kUnavailable,  // The other side provably did not act on the request.
  kUnknown,      // The other side may or may not have acted.
  kTimeout,      // The deadline passed before an answer came; the effect is
                 // unknown.
  kExpired,      // The records asked for are past retention.
  kExhausted,    // A limit is reached; trying later may succeed.
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
  // When load is the cause: how long to wait before trying again. Zero says
  // nothing.
  std::int64_t retry_after_ms = 0;

  auto Tie() const {
    return std::tie(this->code, this->message, this->retry_after_ms);
  }
};

std::ostream& operator<<(std::ostream& out, const Error& error);

// A value of type T or an Error. Reading the value of a failed Result ends the
// process, since it is a broken invariant: test has_value() first.
template <class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

// Success or an Error.
using Status = Result<void>;

// The successful Status.
inline Status Ok() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// Builds a failure that converts to any Result.
inline Error MakeError(ErrorCode code, std::string message) {
  return Error{code, std::move(message), 0};
}

}  // namespace kumquatcart

#endif  // BASE_OUTCOME_H_
