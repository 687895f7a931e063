// Messages between entry VMs and their CBOR encoding.
#ifndef PEERS_PEER_MESSAGE_H_
#define PEERS_PEER_MESSAGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "base/comparable.h"
#include "base/json.h"
#include "base/outcome.h"
#include "model/member.h"

namespace kumquatcart {

// Identifies a member in messages: the hash of its node id.
using MemberKey = std::uint64_t;

// Mutable state of a member; the identity of a member never changes.
struct MemberUpdate {
  MemberKey key = 0;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  Offset config_offset = kNoOffset;
  bool platform_reachable = true;

  auto Tie() const {
    return std::tie(this->key, this->incarnation, this->state,
                    this->config_offset, this->platform_reachable);
  }
};

// First message in both directions of a connection: identifies the sender.
struct IdentifyMessage {
  Member self;

  auto Tie() const { return std::tie(this->self); }
};

// Liveness probe; the receiver replies with a PongMessage.
struct PingMessage {
  auto Tie() const { return std::tie(); }
};

struct PongMessage {
  auto Tie() const { return std::tie(); }
};

// Membership changes.
struct MembersMessage {
  std::vector<Member> members;        // Requested by MemberRequestMessage.
  std::vector<MemberUpdate> updates;  // About members known to the receiver.

  auto Tie() const { return std::tie(this->members, this->updates); }
};

// Requests the full records of members of which only the key is known.
struct MemberRequestMessage {
  std::vector<MemberKey> keys;

  auto Tie() const { return std::tie(this->keys); }
};

// Changes of one topic and the sender's digest of it.
struct PushMessage {
  std::string topic;
  Json delta;
  Json digest;

  auto Tie() const { return std::tie(this->topic, this->delta, this->digest); }
};

// Digests of the sender's state; the receiver replies with the changes that the
// sender lacks.
struct DigestMessage {
  std::vector<std::uint32_t> member_buckets;  // Empty: no member digest.
  std::map<std::string, Json> topics;
  bool wants_reply = false;  // The receiver replies with the digests
                             // that differ.

  auto Tie() const {
    return std::tie(this->member_buckets, this->topics, this->wants_reply);
  }
};

using PeerMessage = std::variant<IdentifyMessage,
                                 PingMessage,
                                 PongMessage,
                                 MembersMessage,
                                 MemberRequestMessage,
                                 PushMessage,
                                 DigestMessage>;

// Thread safe.
std::string EncodePeerMessage(const PeerMessage& message);

// Decodes an untrusted message. Errors: kInvalidArgument if it is malformed.
// Thread safe.
Result<PeerMessage> DecodePeerMessage(const std::string& bytes);

}  // namespace kumquatcart

#endif  // PEERS_PEER_MESSAGE_H_
