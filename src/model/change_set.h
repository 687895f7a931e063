// Change sets: what operators publish, one log record each.
#ifndef MODEL_CHANGE_SET_H_
#define MODEL_CHANGE_SET_H_

#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "base/ids.h"
#include "base/json.h"
#include "model/log_record.h"
#include "model/object_kind.h"
#include "model/rule_violation.h"

namespace kumquatcart {

enum class ChangeOperation { kPut, kDelete };

// Change of one object.
struct ObjectChange {
  ChangeOperation operation = ChangeOperation::kPut;
  ObjectKind kind = ObjectKind::kOrganisation;
  ObjectName name;
  PartnerId owner;
  Json spec = Json::object();  // Empty for a delete.
  // Revision that the change was made against; 0: the object must not exist.
  std::int64_t expected_revision = 0;

  auto Tie() const {
    return std::tie(this->operation, this->kind, this->name, this->owner,
                    this->spec, this->expected_revision);
  }
};

// Changes that take effect together or not at all.
struct ChangeSet {
  AppendId id;        // Also the append id of its record.
  std::string actor;  // Operator who published it.
  PartnerId partner;  // On whose behalf; owns every object changed.
  std::int64_t time_unix_ms =
      0;  // Publisher's clock; for the audit trail only.
  std::vector<ObjectChange> changes;

  auto Tie() const {
    return std::tie(this->id, this->actor, this->partner, this->time_unix_ms,
                    this->changes);
  }
};

// What could be read of a record. The change set is usable only when there are
// no violations.
struct DecodedChangeSet {
  ChangeSet change_set;
  RuleViolations violations;
  // Names of the malformed changes, as far as they have one.
  std::set<ObjectName> malformed_names;
};

// The payload of the change set's record. Thread safe.
std::string EncodeChangeSet(const ChangeSet& change_set);

// Reads a payload from outside; never fails hard. Malformed changes are left
// out of the change set and reported. Thread safe.
DecodedChangeSet DecodeChangeSet(const std::string& payload);

// Parses JSON from outside within bounds of size and nesting. Fails with
// kInvalidArgument. Thread safe.
Result<Json> ParseBoundedJson(const std::string& text, std::size_t max_bytes);

// Reads one change; `position` names it in errors while it has no valid name.
// Returns false when it is malformed. Thread safe.
bool DecodeObjectChange(const Json& json,
                        ChangeOperation operation,
                        const std::string& position,
                        ObjectChange* change,
                        RuleViolations* violations);

}  // namespace kumquatcart

#endif  // MODEL_CHANGE_SET_H_
