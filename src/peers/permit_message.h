// Messages by which entry VMs share the rate limit of a server.
#ifndef PEERS_PERMIT_MESSAGE_H_
#define PEERS_PERMIT_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>

#include "base/comparable.h"
#include "base/outcome.h"
#include "model/server_limit.h"

namespace kumquatcart {

// Requests permits from the VM that coordinates a server's limit.
struct PermitRequest {
  std::string node;           // The sender.
  std::int64_t sequence = 0;  // Increases with each request of the sender.
  ServerLimit limit;          // As the sender knows it.
  int wanted = 0;

  auto Tie() const {
    return std::tie(this->node, this->sequence, this->limit, this->wanted);
  }
};

// Answer to a permit request.
struct PermitReply {
  std::string node;           // The sender.
  std::int64_t sequence = 0;  // Of the request.
  std::string server;
  bool coordinates = false;  // False: the sender does not allocate the limit.
  int count = 0;             // Permits granted.
  std::int64_t first_in_us = 0;  // As in PermitOffer.
  std::int64_t interval_us = 0;
  int nodes = 1;  // VMs that have recently requested permits of the server.

  auto Tie() const {
    return std::tie(this->node, this->sequence, this->server, this->coordinates,
                    this->count, this->first_in_us, this->interval_us,
                    this->nodes);
  }
};

using PermitMessage = std::variant<PermitRequest, PermitReply>;

// Encodes as CBOR. Thread safe.
std::string EncodePermitMessage(const PermitMessage& message);

// None if `bytes` is a message of another kind, such as a digest. Errors:
// kInvalidArgument for one that is malformed. Thread safe.
std::optional<Result<PermitMessage>> DecodePermitMessage(
    const std::string& bytes);

}  // namespace kumquatcart

#endif  // PEERS_PERMIT_MESSAGE_H_
