// Messages between entry VMs whose first element names their kind.
#ifndef PEERS_TAGGED_MESSAGE_H_
#define PEERS_TAGGED_MESSAGE_H_

#include <optional>
#include <string>

#include "base/json.h"

namespace kumquatcart {

// Encodes as CBOR. Precondition: `message` is an array of fewer than 24
// elements, of which the first is a text. Thread safe.
std::string EncodeTaggedMessage(const Json& message);

// None if `bytes` is no such array, such as a digest. Thread safe.
std::optional<Json> DecodeTaggedMessage(const std::string& bytes);

// The kind of a decoded message. Thread safe.
inline const std::string& TagOf(const Json& message) {
  return message.front().get_ref<const std::string&>();
}

}  // namespace kumquatcart

#endif  // PEERS_TAGGED_MESSAGE_H_
