// Fields and value ranges of each kind of configuration object.
#ifndef MODEL_OBJECT_SCHEMA_H_
#define MODEL_OBJECT_SCHEMA_H_

#include <string>
#include <vector>

#include "model/field_rule.h"
#include "model/object_kind.h"

namespace kumquatcart {

// The fields of a spec of `kind`. Thread safe.
const std::vector<FieldRule>& SpecFields(ObjectKind kind);

// Adds a violation for each rule of one object alone that `spec` breaks.
// `label` names the object. Thread safe.
void CheckSpec(ObjectKind kind,
               const std::string& label,
               const Json& spec,
               RuleViolations* violations);

}  // namespace kumquatcart

#endif  // MODEL_OBJECT_SCHEMA_H_
