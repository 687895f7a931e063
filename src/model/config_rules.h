// Rules that hold between configuration objects.
#ifndef MODEL_CONFIG_RULES_H_
#define MODEL_CONFIG_RULES_H_

#include <map>
#include <set>

#include "model/config_references.h"
#include "model/config_view.h"
#include "model/rule_violation.h"

namespace kumquatcart {

// Names that a reference check treats specially.
struct ReferenceScope {
  // Deleted by the change set: a reference left over is the delete's fault.
  std::map<ObjectName, ObjectKind> deleted;
  // Malformed in the change set and reported already.
  std::set<ObjectName> malformed;
};

// Adds a violation for each cross-object rule that `object` breaks in `view`:
// references, grants between partners, uniqueness, sums. Nothing when there is
// no such object. Thread safe.
void CheckObject(const ConfigView& view,
                 const ObjectId& object,
                 const ReferenceScope& scope,
                 RuleViolations* violations);

// Whether `partner` may refer to `target`, which `owner` owns. Thread safe.
bool MayReferTo(const ConfigView& view,
                const ObjectName& target,
                const PartnerId& owner,
                const PartnerId& partner);

}  // namespace kumquatcart

#endif  // MODEL_CONFIG_RULES_H_
