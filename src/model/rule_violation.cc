#include "model/rule_violation.h"

#include "model/config_constants.h"

namespace kumquatcart {

std::string ToString(const RuleViolation& violation) {
  std::string text = violation.object + ": ";
  if (!violation.field.empty()) {
    text += "field '" + violation.field + "' ";
  }
  if (!violation.value.empty()) {
    text += "is " + violation.value + ", but ";
  }
  return text + violation.rule;
}

std::string ToString(const RuleViolations& violations) {
  std::string text;
  for (const RuleViolation& violation : violations) {
    text += ToString(violation) + "\n";
  }
  return text;
}

std::string QuoteValue(const Json& value) {
  const bool ascii_only = true;
  std::string text =
      value.dump(-1, ' ', ascii_only, Json::error_handler_t::replace);
  if (text.size() > kMaxQuotedValueBytes) {
    text.resize(kMaxQuotedValueBytes);
    text += "...";
  }
  return text;
}

}  // namespace kumquatcart
