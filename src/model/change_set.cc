#include "model/change_set.h"

#include <set>
#include <utility>

#include <fmt/format.h>

#include "model/config_constants.h"
#include "model/field_rule.h"
#include "model/object_schema.h"

namespace kumquatcart {

namespace {

constexpr char kChangeSetLabel[] = "change set";
constexpr std::size_t kMaxAppendIdBytes = 64;
constexpr double kMaxRevision = 9e15;
constexpr double kMaxUnixMillis = 9e15;

const std::vector<FieldRule>& EnvelopeFields() {
  static const std::vector<FieldRule> fields = {
      {"format",
       true,
       IsInteger(kConfigFormatVersion, kConfigFormatVersion),
       {}},
      {"id", true, IsText(kMaxAppendIdBytes), {}},
      {"actor", true, IsText(kMaxTextBytes), {}},
      {"partner", true, IsName(), {}},
      {"time_unix_ms", true, IsInteger(0, kMaxUnixMillis), {}},
      {"put", false, IsList(kMaxChangesPerChangeSet), {}},
      {"delete", false, IsList(kMaxChangesPerChangeSet), {}},
  };
  return fields;
}

std::vector<FieldRule> ChangeFields(ChangeOperation operation) {
  std::vector<FieldRule> fields = {
      {"kind", true, IsOneOf(ObjectKindNames()), {}},
      {"name", true, IsName(), {}},
      {"owner", true, IsName(), {}},
      {"revision", false, IsInteger(0, kMaxRevision), {}},
  };
  if (operation == ChangeOperation::kPut) {
    fields.push_back({"spec", true, IsObject(), {}});
  }
  return fields;
}

Json EncodeChange(const ObjectChange& change) {
  Json json = {{"kind", ToString(change.kind)},
               {"name", change.name},
               {"owner", change.owner},
               {"revision", change.expected_revision}};
  if (change.operation == ChangeOperation::kPut) {
    json["spec"] = change.spec;
  }
  return json;
}

// The text in a field; empty when `json` has no such field.
std::string TextField(const Json& json, const char* name) {
  if (!json.is_object()) {
    return {};
  }
  const auto found = json.find(name);
  return found != json.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

// Fills what the envelope says, also when it is malformed, for the audit trail.
void ReadEnvelope(const Json& json, ChangeSet* change_set) {
  change_set->id = AppendId(TextField(json, "id"));
  change_set->actor = TextField(json, "actor");
  change_set->partner = PartnerId(TextField(json, "partner"));
  const auto time = json.find("time_unix_ms");
  if (time != json.end() && time->is_number_integer()) {
    change_set->time_unix_ms = time->get<std::int64_t>();
  }
}

void ReadChanges(const Json& json,
                 const char* list_name,
                 ChangeOperation operation,
                 DecodedChangeSet* decoded) {
  const auto list = json.find(list_name);
  if (list == json.end() || !list->is_array()) {
    return;
  }
  for (std::size_t index = 0; index < list->size(); ++index) {
    ObjectChange change;
    const std::string position = fmt::format("{}[{}]", list_name, index);
    if (DecodeObjectChange((*list)[index], operation, position, &change,
                           &decoded->violations)) {
      decoded->change_set.changes.push_back(std::move(change));
    } else if ((*list)[index].is_object()) {
      decoded->malformed_names.insert(
          ObjectName(TextField((*list)[index], "name")));
    }
  }
}

void CheckChangeCount(DecodedChangeSet* decoded) {
  const std::size_t count = decoded->change_set.changes.size();
  if (count == 0 && decoded->violations.empty()) {
    decoded->violations.push_back(
        {kChangeSetLabel, "", "", "must change at least one object"});
  }
  if (count > kMaxChangesPerChangeSet) {
    decoded->violations.push_back({kChangeSetLabel, "", std::to_string(count),
                                   fmt::format("must change {} objects at most",
                                               kMaxChangesPerChangeSet)});
  }
}

void CheckNamedOnce(DecodedChangeSet* decoded) {
  std::set<ObjectName> names;
  for (const ObjectChange& change : decoded->change_set.changes) {
    if (!names.insert(change.name).second) {
      decoded->violations.push_back({ObjectLabel(change.kind, change.name),
                                     "name", QuoteValue(change.name.value),
                                     "must be changed once in a change set"});
    }
  }
}

bool NestsTooDeep(const std::string& text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char character = text[index];
    if (in_string && character == '\\') {
      ++index;
    } else if (character == '"') {
      in_string = !in_string;
    } else if (!in_string && (character == '[' || character == '{')) {
      ++depth;
    } else if (!in_string && (character == ']' || character == '}')) {
      --depth;
    }
    if (depth > kMaxJsonDepth) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string EncodeChangeSet(const ChangeSet& change_set) {
  Json json = {{"format", kConfigFormatVersion},
               {"id", change_set.id},
               {"actor", change_set.actor},
               {"partner", change_set.partner},
               {"time_unix_ms", change_set.time_unix_ms},
               {"put", Json::array()},
               {"delete", Json::array()}};
  for (const ObjectChange& change : change_set.changes) {
    const bool is_put = change.operation == ChangeOperation::kPut;
    json[is_put ? "put" : "delete"].push_back(EncodeChange(change));
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

DecodedChangeSet DecodeChangeSet(const std::string& payload) {
  DecodedChangeSet decoded;
  const Result<Json> json = ParseBoundedJson(payload, kMaxChangeSetBytes);
  if (json.has_error()) {
    decoded.violations.push_back(
        {kChangeSetLabel, "", "", json.error().message});
    return decoded;
  }
  CheckFields(kChangeSetLabel, "", json.value(), EnvelopeFields(),
              &decoded.violations);
  if (!json.value().is_object()) {
    return decoded;
  }
  ReadEnvelope(json.value(), &decoded.change_set);
  ReadChanges(json.value(), "put", ChangeOperation::kPut, &decoded);
  ReadChanges(json.value(), "delete", ChangeOperation::kDelete, &decoded);
  CheckChangeCount(&decoded);
  CheckNamedOnce(&decoded);
  return decoded;
}

Result<Json> ParseBoundedJson(const std::string& text, std::size_t max_bytes) {
  if (text.size() > max_bytes) {
    return MakeError(ErrorCode::kInvalidArgument,
                     fmt::format("is {} bytes long, but {} are allowed",
                                 text.size(), max_bytes));
  }
  if (NestsTooDeep(text)) {
    return MakeError(ErrorCode::kInvalidArgument,
                     fmt::format("nests deeper than {} levels", kMaxJsonDepth));
  }
  return ParseJson(text);
}

bool DecodeObjectChange(const Json& json,
                        ChangeOperation operation,
                        const std::string& position,
                        ObjectChange* change,
                        RuleViolations* violations) {
  const std::size_t violations_before = violations->size();
  const std::optional<ObjectKind> kind =
      ParseObjectKind(TextField(json, "kind"));
  std::string label = position;
  if (kind.has_value()) {
    const std::string name = TextField(json, "name");
    label =
        ObjectLabel(*kind, ObjectName(name.substr(0, kMaxQuotedValueBytes)));
  }
  CheckFields(label, "", json, ChangeFields(operation), violations);
  if (kind.has_value() && json.contains("spec") && json["spec"].is_object()) {
    CheckSpec(*kind, label, json["spec"], violations);
  }
  if (!kind.has_value() || violations->size() > violations_before) {
    return false;
  }
  change->operation = operation;
  change->kind = kind.value_or(ObjectKind::kOrganisation);
  change->name = ObjectName(TextField(json, "name"));
  change->owner = PartnerId(TextField(json, "owner"));
  change->spec = json.value("spec", Json::object());
  change->expected_revision = json.value("revision", std::int64_t{0});
  return true;
}

}  // namespace kumquatcart
