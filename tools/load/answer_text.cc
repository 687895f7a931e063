#include "load/answer_text.h"

#include "base/json.h"

namespace kumquatcart::load {

namespace {

std::string TextAt(const Json& json, const char* pointer) {
  const Json::json_pointer path(pointer);
  if (!json.contains(path) || !json.at(path).is_string()) {
    return "";
  }
  return json.at(path).get<std::string>();
}

}  // namespace

std::string TextOfAnswer(std::string_view json) {
  const Result<Json> parsed = ParseJson(std::string(json));
  if (!parsed.has_value()) {
    return "";
  }
  return TextAt(parsed.value(), "/choices/0/delta/content") +
         TextAt(parsed.value(), "/choices/0/message/content") +
         TextAt(parsed.value(), "/choices/0/text");
}

std::string OutcomeOfError(std::string_view json) {
  const Result<Json> parsed = ParseJson(std::string(json));
  return parsed.has_value() ? TextAt(parsed.value(), "/error/outcome") : "";
}

std::string FieldOf(std::string_view json, const std::string& name) {
  const Result<Json> parsed = ParseJson(std::string(json));
  return parsed.has_value() ? TextAt(parsed.value(), ("/" + name).c_str()) : "";
}

}  // namespace kumquatcart::load
