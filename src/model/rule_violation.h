// Reasons why a change set is refused.
#ifndef MODEL_RULE_VIOLATION_H_
#define MODEL_RULE_VIOLATION_H_

#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "base/json.h"

namespace kumquatcart {

// One broken rule: which object and field, the value found, what is allowed.
struct RuleViolation {
  std::string object;  // "Kind/name", or "change set".
  std::string field;   // Path inside the spec, or empty for the whole object.
  std::string value;   // As JSON, shortened.
  std::string rule;    // Ends the sentence "..., but".

  auto Tie() const {
    return std::tie(this->object, this->field, this->value, this->rule);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RuleViolation,
                                                object,
                                                field,
                                                value,
                                                rule)

using RuleViolations = std::vector<RuleViolation>;

// One line for the operator. Thread safe.
std::string ToString(const RuleViolation& violation);

// All violations, one a line. Thread safe.
std::string ToString(const RuleViolations& violations);

// `value` as ASCII JSON, shortened for an error. Thread safe.
std::string QuoteValue(const Json& value);

}  // namespace kumquatcart

#endif  // MODEL_RULE_VIOLATION_H_
