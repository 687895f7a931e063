// Kinds of configuration objects.
#ifndef MODEL_OBJECT_KIND_H_
#define MODEL_OBJECT_KIND_H_

#include <array>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "base/ids.h"

namespace kumquatcart {

enum class ObjectKind {
  kOrganisation,
  kReplicaGroupClass,
  kModelService,
  kPlainService,
  kPlacementIntent,
  kQuota,
  kGrant,
  kToken,
};

constexpr std::array<ObjectKind, 8> kAllObjectKinds = {
    ObjectKind::kOrganisation,    ObjectKind::kReplicaGroupClass,
    ObjectKind::kModelService,    ObjectKind::kPlainService,
    ObjectKind::kPlacementIntent, ObjectKind::kQuota,
    ObjectKind::kGrant,           ObjectKind::kToken};

// Name of the kind in files and records. Thread safe.
const char* ToString(ObjectKind kind);
std::ostream& operator<<(std::ostream& out, ObjectKind kind);

// Nothing when no kind has that name. Thread safe.
std::optional<ObjectKind> ParseObjectKind(const std::string& text);

// Names of all kinds. Thread safe.
std::vector<std::string> ObjectKindNames();

// "Kind/name", as used in errors and the audit trail. Thread safe.
std::string ObjectLabel(ObjectKind kind, const ObjectName& name);

}  // namespace kumquatcart

#endif  // MODEL_OBJECT_KIND_H_
