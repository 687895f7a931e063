#include "base/soft_assert.h"

#include "base/logging.h"

namespace kumquatcart {

bool SoftCheck(bool condition,
               const char* expression,
               const char* file,
               int line) {
  if (!condition) {
    LogError("soft_assertion_failed",
             {{"expression", expression}, {"file", file}, {"line", line}});
  }
  return condition;
}

}  // namespace kumquatcart
