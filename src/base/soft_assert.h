// Non-fatal assertions, which log a failure and let the caller recover.
#ifndef BASE_SOFT_ASSERT_H_
#define BASE_SOFT_ASSERT_H_

namespace kumquatcart {

// Logs an error if `condition` is false. Returns `condition`, so that the
// caller can return early. Thread safe.
bool SoftCheck(bool condition,
               const char* expression,
               const char* file,
               int line);

}  // namespace kumquatcart

// Logs an error if `condition` is false. Evaluates to `condition`.
#define KC_CHECK_SOFT(condition)                                               \
  ::kumquatcart::SoftCheck(static_cast<bool>(condition), #condition, __FILE__, \
                           __LINE__)

// Logs an error and returns `...` from the function if `condition` is false.
#define KC_ENSURE(condition, ...)    \
  do {                               \
    if (!KC_CHECK_SOFT(condition)) { \
      return __VA_ARGS__;            \
    }                                \
  } while (false)

#endif  // BASE_SOFT_ASSERT_H_
