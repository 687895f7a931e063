// Assertions that log and let the caller recover.
#ifndef BASE_SOFT_ASSERT_H_
#define BASE_SOFT_ASSERT_H_

namespace kumquatcart {

// Logs a failed expectation. Returns `condition`, so that the caller can return
// early. Thread safe.
bool SoftCheck(bool condition,
               const char* expression,
               const char* file,
               int line);

}  // namespace kumquatcart

// Logs when `condition` is false and evaluates to it.
#define KC_CHECK_SOFT(condition)                                               \
  ::kumquatcart::SoftCheck(static_cast<bool>(condition), #condition, __FILE__, \
                           __LINE__)

// Leaves the function with `...` when `condition` is false, after logging it.
#define KC_ENSURE(condition, ...)    \
  do {                               \
    if (!KC_CHECK_SOFT(condition)) { \
      return __VA_ARGS__;            \
    }                                \
  } while (false)

#endif  // BASE_SOFT_ASSERT_H_
