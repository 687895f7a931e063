#include "peers/tagged_message.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace kumquatcart {

namespace {

// Whether `bytes` may be a CBOR array whose first element is a text. Digests
// begin with a number. The header of an array as short as a message is one
// byte; the upper three bits of the next one are the type of its first element.
bool BeginsWithText(const std::string& bytes) {
  constexpr unsigned kTypeShift = 5;
  constexpr unsigned kTextType = 3;
  return bytes.size() > 1 &&
         static_cast<unsigned char>(bytes[1]) >> kTypeShift == kTextType;
}

}  // namespace

std::string EncodeTaggedMessage(const Json& message) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(message);
  return std::string(bytes.begin(), bytes.end());
}

std::optional<Json> DecodeTaggedMessage(const std::string& bytes) {
  if (!BeginsWithText(bytes)) {
    return std::nullopt;
  }
  Result<Json> json = ParseCbor(bytes);
  if (json.has_error()) {
    return std::nullopt;  // The decoder of digests reports it.
  }
  if (!json.value().is_array() || json.value().empty() ||
      !json.value().front().is_string()) {
    return std::nullopt;
  }
  return std::move(json.value());
}

}  // namespace kumquatcart
