// Messages by which the entry VMs of a failure domain assign slots of replica
// groups.
#ifndef PEERS_SLOT_MESSAGE_H_
#define PEERS_SLOT_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "base/comparable.h"
#include "base/outcome.h"

namespace kumquatcart {

// Requests a slot from the slot coordinator. Sent again, it asks for the state
// of the same request.
struct SlotAsk {
  std::string node;     // The sender.
  std::int64_t id = 0;  // Unique over all requests of the sender's process.
  std::string service;
  std::string model;
  std::vector<std::string> excluded;  // Ids of servers not to use.
  std::int64_t prompt_tokens = 0;
  std::int64_t gap_target_us = 0;  // Longest pause between events.
  std::int64_t start_in_us = 0;    // Latest start that meets the target.
  std::int64_t wait_us = 0;        // Time for which a slot is useful.

  auto Tie() const {
    return std::tie(this->node, this->id, this->service, this->model,
                    this->excluded, this->prompt_tokens, this->gap_target_us,
                    this->start_in_us, this->wait_us);
  }
};

enum class SlotState { kGranted, kQueued, kRejected, kUnavailable };

// Lower-case name for logs and metrics. Thread safe.
const char* ToString(SlotState state);

// Answer to a SlotAsk.
struct SlotReply {
  std::string node;     // The sender.
  std::int64_t id = 0;  // Of the request.
  // kUnavailable: the sender cannot assign slots of this model at present.
  SlotState state = SlotState::kUnavailable;
  std::string group;  // If granted, with its epoch and its head's server id.
  std::int64_t epoch = 0;
  std::string server;
  // If rejected, and if queued in case that no slot becomes free in time.
  std::int64_t retry_after_us = 0;

  auto Tie() const {
    return std::tie(this->node, this->id, this->state, this->group, this->epoch,
                    this->server, this->retry_after_us);
  }
};

// Returns a slot, or cancels a request for one.
struct SlotReturn {
  std::string node;
  std::int64_t id = 0;

  auto Tie() const { return std::tie(this->node, this->id); }
};

struct HeldSlot {
  std::int64_t id = 0;
  std::string server;

  auto Tie() const { return std::tie(this->id, this->server); }
};

// All slots that a node holds, whoever has assigned them.
struct SlotReport {
  std::string node;
  std::vector<HeldSlot> held;

  auto Tie() const { return std::tie(this->node, this->held); }
};

using SlotMessage = std::variant<SlotAsk, SlotReply, SlotReturn, SlotReport>;

// Encodes as CBOR. Thread safe.
std::string EncodeSlotMessage(const SlotMessage& message);

// None if `bytes` is a message of another kind, such as a digest. Errors:
// kInvalidArgument for one that is malformed. Thread safe.
std::optional<Result<SlotMessage>> DecodeSlotMessage(const std::string& bytes);

}  // namespace kumquatcart

#endif  // PEERS_SLOT_MESSAGE_H_
