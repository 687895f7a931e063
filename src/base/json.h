// JSON decoding that returns errors instead of throwing exceptions.
#ifndef BASE_JSON_H_
#define BASE_JSON_H_

#include <exception>
#include <string>

#include <nlohmann/json.hpp>

#include "base/outcome.h"

namespace kumquatcart {

using Json = nlohmann::json;

// Parses `text`. Fails with kInvalidArgument; the message contains the position
// of the error. Thread safe.
inline Result<Json> ParseJson(const std::string& text) {
  try {
    return Json::parse(text);
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument, error.what());
  }
}

// Converts `json` to a value type. Fails with kInvalidArgument; the message
// contains the field. Thread safe.
template <class T>
Result<T> FromJson(const Json& json) {
  try {
    return json.get<T>();
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument, error.what());
  }
}

// Parses `text` and converts it to a value type. Fails as ParseJson and
// FromJson do. Thread safe.
template <class T>
Result<T> DecodeJson(const std::string& text) {
  BOOST_OUTCOME_TRY(json, ParseJson(text));
  return FromJson<T>(json);
}

}  // namespace kumquatcart

#endif  // BASE_JSON_H_
