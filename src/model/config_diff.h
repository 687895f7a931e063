// Differences that a change set makes.
#ifndef MODEL_CONFIG_DIFF_H_
#define MODEL_CONFIG_DIFF_H_

#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "model/config_access.h"

namespace kumquatcart {

// One field before and after, as JSON text; empty when the object was absent.
struct FieldDifference {
  std::string field;
  std::string before;
  std::string after;

  auto Tie() const { return std::tie(this->field, this->before, this->after); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FieldDifference, field, before, after)

// One object added, changed or deleted.
struct ObjectDifference {
  std::string action;  // "add", "change" or "delete".
  std::string object;  // "Kind/name".
  std::vector<FieldDifference> fields;

  auto Tie() const {
    return std::tie(this->action, this->object, this->fields);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ObjectDifference, action, object, fields)

using ConfigDiff = std::vector<ObjectDifference>;

// Compares the specs of one object. Nothing when both are absent or the same.
// Thread safe.
std::optional<ObjectDifference> DiffObject(
    const std::optional<ConfigObject>& before,
    const std::optional<ConfigObject>& after);

// Lines for the operator, each ended by a newline. Thread safe.
std::string ToString(const ConfigDiff& diff);

}  // namespace kumquatcart

#endif  // MODEL_CONFIG_DIFF_H_
