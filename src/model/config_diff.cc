#include "model/config_diff.h"

#include <set>

#include <fmt/format.h>

namespace kumquatcart {

namespace {

Json SpecOf(const std::optional<ConfigObject>& object) {
  return object.has_value() ? object->spec : Json::object();
}

std::string ValueText(const Json& spec, const std::string& field) {
  const auto found = spec.find(field);
  return found == spec.end()
             ? std::string()
             : found->dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::set<std::string> FieldNames(const Json& before, const Json& after) {
  std::set<std::string> names;
  for (const Json* const spec : {&before, &after}) {
    for (const auto& [name, value] : spec->items()) {
      names.insert(name);
    }
  }
  return names;
}

const char* ActionName(bool had_before, bool has_after) {
  if (!had_before) {
    return "add";
  }
  return has_after ? "change" : "delete";
}

std::string DescribeField(const FieldDifference& field) {
  if (field.before.empty()) {
    return fmt::format("    {}: {}\n", field.field, field.after);
  }
  if (field.after.empty()) {
    return fmt::format("    {}: was {}\n", field.field, field.before);
  }
  return fmt::format("    {}: {} -> {}\n", field.field, field.before,
                     field.after);
}

}  // namespace

std::optional<ObjectDifference> DiffObject(
    const std::optional<ConfigObject>& before,
    const std::optional<ConfigObject>& after) {
  if (!before.has_value() && !after.has_value()) {
    return std::nullopt;
  }
  const ConfigObject& any = after.has_value() ? *after : *before;
  ObjectDifference difference;
  difference.action = ActionName(before.has_value(), after.has_value());
  difference.object = ObjectLabel(any.kind, any.meta.name);
  const Json old_spec = SpecOf(before);
  const Json new_spec = SpecOf(after);
  for (const std::string& name : FieldNames(old_spec, new_spec)) {
    FieldDifference field = {name, ValueText(old_spec, name),
                             ValueText(new_spec, name)};
    if (field.before != field.after) {
      difference.fields.push_back(std::move(field));
    }
  }
  const bool both = before.has_value() && after.has_value();
  if (both && difference.fields.empty()) {
    return std::nullopt;
  }
  return difference;
}

std::string ToString(const ConfigDiff& diff) {
  std::string text;
  for (const ObjectDifference& difference : diff) {
    text += fmt::format("{} {}\n", difference.action, difference.object);
    for (const FieldDifference& field : difference.fields) {
      text += DescribeField(field);
    }
  }
  return text;
}

}  // namespace kumquatcart
