// JSON decoding that returns errors instead of throwing exceptions.
#ifndef BASE_JSON_H_
#define BASE_JSON_H_

#include <cstddef>
#include <string>

#include <nlohmann/json.hpp>

#include "base/outcome.h"

namespace kumquatcart {

using Json = nlohmann::json;

// Maximum nesting depth of arrays and objects in a document that is parsed.
// Copies, encoders and the decoder of CBOR recurse at each level, in coroutines
// with small stacks.
inline constexpr std::size_t kMaxJsonNesting = 64;
// The same for CBOR, which only encoders of this system write.
inline constexpr std::size_t kMaxCborNesting = 32;

// Parses `text`. Fails with kInvalidArgument for a document that is malformed
// or nests too deep; the message is short and contains the position of the
// error. Thread safe.
Result<Json> ParseJson(const std::string& text);

// Parses CBOR with definite lengths and without tags. Fails as ParseJson does.
// Thread safe.
Result<Json> ParseCbor(const std::string& bytes);

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
