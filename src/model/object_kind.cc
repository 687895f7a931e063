#include "model/object_kind.h"

namespace kumquatcart {

const char* ToString(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kOrganisation:
      return "Organisation";
    case ObjectKind::kReplicaGroupClass:
      return "ReplicaGroupClass";
    case ObjectKind::kModelService:
      return "ModelService";
    case ObjectKind::kPlainService:
      return "PlainService";
    case ObjectKind::kPlacementIntent:
      return "PlacementIntent";
    case ObjectKind::kQuota:
      return "Quota";
    case ObjectKind::kGrant:
      return "Grant";
    case ObjectKind::kToken:
      return "Token";
  }
  return "";
}

std::ostream& operator<<(std::ostream& out, ObjectKind kind) {
  return out << ToString(kind);
}

std::optional<ObjectKind> ParseObjectKind(const std::string& text) {
  for (const ObjectKind kind : kAllObjectKinds) {
    if (text == ToString(kind)) {
      return kind;
    }
  }
  return std::nullopt;
}

std::vector<std::string> ObjectKindNames() {
  std::vector<std::string> names;
  names.reserve(kAllObjectKinds.size());
  for (const ObjectKind kind : kAllObjectKinds) {
    names.emplace_back(ToString(kind));
  }
  return names;
}

std::string ObjectLabel(ObjectKind kind, const ObjectName& name) {
  return std::string(ToString(kind)) + "/" + name.value;
}

}  // namespace kumquatcart
