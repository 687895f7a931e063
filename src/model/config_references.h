// References between configuration objects.
#ifndef MODEL_CONFIG_REFERENCES_H_
#define MODEL_CONFIG_REFERENCES_H_

#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "model/config_view.h"
#include "model/object_kind.h"

namespace kumquatcart {

// A field of an object that names another object.
struct ObjectReference {
  std::string field;
  ObjectName target;
  std::vector<ObjectKind> allowed_kinds;  // Empty: any kind.

  auto Tie() const {
    return std::tie(this->field, this->target, this->allowed_kinds);
  }
};

// An object by kind and name.
struct ObjectId {
  ObjectKind kind = ObjectKind::kOrganisation;
  ObjectName name;

  auto Tie() const { return std::tie(this->kind, this->name); }
};

// What the object refers to; empty when there is no such object. Thread safe.
std::vector<ObjectReference> ReferencesOf(const ConfigView& view,
                                          const ObjectId& object);

// Objects that refer to one of `targets`. Takes time linear in the number of
// objects. Thread safe.
std::vector<ObjectId> FindReferrers(const ConfigView& view,
                                    const std::set<ObjectName>& targets);

}  // namespace kumquatcart

#endif  // MODEL_CONFIG_REFERENCES_H_
