#include "model/field_rule.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "model/config_constants.h"

namespace kumquatcart {

namespace {

bool IsLowerOrDigit(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= '0' && character <= '9');
}

bool IsNameCharacter(char character) {
  return IsLowerOrDigit(character) || character == '-' || character == '.';
}

bool IsNameText(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         IsLowerOrDigit(text.front()) &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsHexCharacter(char character) {
  return (character >= 'a' && character <= 'f') ||
         (character >= '0' && character <= '9');
}

std::string RuleUnless(bool holds, std::string rule) {
  return holds ? std::string() : std::move(rule);
}

bool IsWithin(const Json& value, double lowest, double highest) {
  const double number = value.get<double>();
  return std::isfinite(number) && number >= lowest && number <= highest;
}

void CheckElements(const std::string& object,
                   const std::string& path,
                   const Json& list,
                   const std::vector<FieldRule>& fields,
                   RuleViolations* violations) {
  for (std::size_t index = 0; index < list.size(); ++index) {
    CheckFields(object, fmt::format("{}[{}]", path, index), list[index], fields,
                violations);
  }
}

void CheckField(const std::string& object,
                const std::string& path,
                const Json& json,
                const FieldRule& field,
                RuleViolations* violations) {
  const auto found = json.find(field.name);
  if (found == json.end()) {
    if (field.required) {
      violations->push_back({object, path, "", "is missing"});
    }
    return;
  }
  std::string broken = field.rule(*found);
  if (!broken.empty()) {
    violations->push_back(
        {object, path, QuoteValue(*found), std::move(broken)});
    return;
  }
  if (!field.element.empty()) {
    CheckElements(object, path, *found, field.element, violations);
  }
}

std::string JoinPath(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}

}  // namespace

ValueRule IsName() {
  return [](const Json& value) {
    const bool holds =
        value.is_string() && IsNameText(value.get_ref<const std::string&>());
    return RuleUnless(
        holds, fmt::format("must be a name of 1 to {} lower-case letters, "
                           "digits, '-' and '.', beginning with a letter or "
                           "digit",
                           kMaxNameLength));
  };
}

ValueRule IsText(std::size_t max_bytes) {
  return [max_bytes](const Json& value) {
    const bool holds = value.is_string() &&
                       value.get_ref<const std::string&>().size() <= max_bytes;
    return RuleUnless(
        holds, fmt::format("must be a text of {} bytes at most", max_bytes));
  };
}

ValueRule IsBoolean() {
  return [](const Json& value) {
    return RuleUnless(value.is_boolean(), "must be true or false");
  };
}

ValueRule IsInteger(double lowest, double highest) {
  return [lowest, highest](const Json& value) {
    const bool holds =
        value.is_number_integer() && IsWithin(value, lowest, highest);
    return RuleUnless(holds, fmt::format("must be a whole number from {} to {}",
                                         lowest, highest));
  };
}

ValueRule IsNumber(double lowest, double highest) {
  return [lowest, highest](const Json& value) {
    const bool holds = value.is_number() && IsWithin(value, lowest, highest);
    return RuleUnless(
        holds, fmt::format("must be a number from {} to {}", lowest, highest));
  };
}

ValueRule IsOneOf(std::vector<std::string> allowed) {
  return [allowed = std::move(allowed)](const Json& value) {
    const bool holds =
        value.is_string() &&
        std::find(allowed.begin(), allowed.end(),
                  value.get_ref<const std::string&>()) != allowed.end();
    return RuleUnless(
        holds, fmt::format("must be one of {}", fmt::join(allowed, ", ")));
  };
}

ValueRule IsLowerHex(std::size_t length) {
  return [length](const Json& value) {
    if (!value.is_string()) {
      return fmt::format("must be {} lower-case hexadecimal digits", length);
    }
    const auto& text = value.get_ref<const std::string&>();
    const bool holds = text.size() == length &&
                       std::all_of(text.begin(), text.end(), IsHexCharacter);
    return RuleUnless(
        holds, fmt::format("must be {} lower-case hexadecimal digits", length));
  };
}

ValueRule IsPathPrefix() {
  return [](const Json& value) {
    const bool holds =
        value.is_string() &&
        value.get_ref<const std::string&>().size() <= kMaxTextBytes &&
        value.get_ref<const std::string&>().rfind('/', 0) == 0;
    return RuleUnless(holds, "must be a path that begins with '/'");
  };
}

ValueRule IsList(std::size_t max_elements) {
  return [max_elements](const Json& value) {
    return RuleUnless(
        value.is_array() && value.size() <= max_elements,
        fmt::format("must be a list of {} elements at most", max_elements));
  };
}

ValueRule IsObject() {
  return [](const Json& value) {
    return RuleUnless(value.is_object(), "must be an object");
  };
}

void CheckFields(const std::string& object,
                 const std::string& path,
                 const Json& json,
                 const std::vector<FieldRule>& fields,
                 RuleViolations* violations) {
  if (!json.is_object()) {
    violations->push_back(
        {object, path, QuoteValue(json), "must be an object"});
    return;
  }
  for (const FieldRule& field : fields) {
    CheckField(object, JoinPath(path, field.name), json, field, violations);
  }
  for (const auto& [name, value] : json.items()) {
    const std::string& present = name;
    const bool known = std::any_of(
        fields.begin(), fields.end(),
        [&present](const FieldRule& field) { return field.name == present; });
    if (!known) {
      violations->push_back({object, JoinPath(path, QuoteValue(present)),
                             QuoteValue(value), "is not a known field"});
    }
  }
}

}  // namespace kumquatcart
