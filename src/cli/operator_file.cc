#include "cli/operator_file.h"

#include <fstream>
#include <iterator>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "model/config_constants.h"
#include "model/field_rule.h"

namespace kumquatcart {

namespace {

constexpr char kStandardInput[] = "-";
constexpr char kStandardInputName[] = "standard input";

Result<std::string> ReadWhole(const std::string& path, std::istream& input) {
  if (path == kStandardInput) {
    return std::string(std::istreambuf_iterator<char>(input), {});
  }
  std::ifstream file(path);
  if (!file) {
    return MakeError(ErrorCode::kNotFound, "can't be read");
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

const std::vector<FieldRule>& FileFields() {
  static const std::vector<FieldRule> fields = {
      {"objects", false, IsList(kMaxChangesPerChangeSet), {}},
      {"delete", false, IsList(kMaxChangesPerChangeSet), {}}};
  return fields;
}

// Reads one file into the collected changes.
class FileReader {
 public:
  FileReader(std::string name, OperatorChanges* changes)
      : name(std::move(name)), changes(changes) {}

  void Read(const std::string& text) {
    const Result<Json> json = ParseBoundedJson(text, kMaxChangeSetBytes);
    if (json.has_error()) {
      this->AddError(json.error().message);
      return;
    }
    CheckFields("file", "", json.value(), FileFields(), &this->violations);
    this->ReadList(json.value(), "objects", ChangeOperation::kPut);
    this->ReadList(json.value(), "delete", ChangeOperation::kDelete);
    for (const RuleViolation& violation : this->violations) {
      this->AddError(ToString(violation));
    }
  }

  void AddError(const std::string& message) {
    this->changes->errors.push_back(this->name + ": " + message);
  }

 private:
  void ReadList(const Json& json,
                const char* list_name,
                ChangeOperation operation) {
    if (!json.is_object() || !json.contains(list_name) ||
        !json[list_name].is_array()) {
      return;
    }
    const Json& list = json[list_name];
    for (std::size_t index = 0; index < list.size(); ++index) {
      ObjectChange change;
      const std::string position = fmt::format("{}[{}]", list_name, index);
      if (DecodeObjectChange(list[index], operation, position, &change,
                             &this->violations)) {
        this->Add(list[index], std::move(change));
      } else {
        this->AddMalformed(list[index], operation);
      }
    }
  }

  void Add(const Json& json, ObjectChange change) {
    if (json.contains("revision")) {
      this->changes->with_revision.insert(change.name);
    }
    const std::string label = ObjectLabel(change.kind, change.name);
    const auto [known, is_new] =
        this->changes->file_of.emplace(label, this->name);
    if (!is_new) {
      this->AddError(label + ": is already changed in " + known->second);
    }
    this->changes->changes.push_back(std::move(change));
  }

  void AddMalformed(const Json& json, ChangeOperation operation) {
    const bool is_put = operation == ChangeOperation::kPut;
    (is_put ? this->changes->malformed_puts : this->changes->malformed_deletes)
        .push_back(json);
    // Errors name the object as the judge does.
    for (const RuleViolation& violation : this->violations) {
      this->changes->file_of.emplace(violation.object, this->name);
    }
  }

  const std::string name;
  OperatorChanges* const changes;
  RuleViolations violations;
};

}  // namespace

OperatorChanges ReadOperatorFiles(const std::vector<std::string>& paths,
                                  std::istream& input) {
  OperatorChanges changes;
  for (const std::string& path : paths) {
    FileReader reader(path == kStandardInput ? kStandardInputName : path,
                      &changes);
    const Result<std::string> text = ReadWhole(path, input);
    if (text.has_error()) {
      reader.AddError(text.error().message);
      continue;
    }
    reader.Read(text.value());
  }
  return changes;
}

std::vector<std::string> WithFiles(const OperatorChanges& changes,
                                   const RuleViolations& violations) {
  std::vector<std::string> lines;
  for (const RuleViolation& violation : violations) {
    const auto file = changes.file_of.find(violation.object);
    const std::string prefix =
        file == changes.file_of.end() ? std::string() : file->second + ": ";
    lines.push_back(prefix + ToString(violation));
  }
  return lines;
}

}  // namespace kumquatcart
