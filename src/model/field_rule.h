// Checks of JSON objects against lists of allowed fields.
#ifndef MODEL_FIELD_RULE_H_
#define MODEL_FIELD_RULE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "base/json.h"
#include "model/rule_violation.h"

namespace kumquatcart {

// Returns the rule that a value breaks, or an empty text.
using ValueRule = std::function<std::string(const Json& value)>;

// One allowed field of a JSON object.
struct FieldRule {
  std::string name;
  bool required = false;
  ValueRule rule;
  // For a list of objects: the fields of each element; `rule` is then checked
  // on the list itself.
  std::vector<FieldRule> element;
};

// Rules of values. All are thread safe.
ValueRule IsName();
ValueRule IsText(std::size_t max_bytes);
ValueRule IsBoolean();
ValueRule IsInteger(double lowest, double highest);
ValueRule IsNumber(double lowest, double highest);
ValueRule IsOneOf(std::vector<std::string> allowed);
ValueRule IsLowerHex(std::size_t length);
ValueRule IsPathPrefix();
ValueRule IsList(std::size_t max_elements);
ValueRule IsObject();

// Adds a violation for each field of `json` that is missing, unknown or breaks
// its rule. `object` names the object in errors and `path` the place of `json`
// inside it. Thread safe.
void CheckFields(const std::string& object,
                 const std::string& path,
                 const Json& json,
                 const std::vector<FieldRule>& fields,
                 RuleViolations* violations);

}  // namespace kumquatcart

#endif  // MODEL_FIELD_RULE_H_
