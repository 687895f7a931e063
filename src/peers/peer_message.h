// Messages between entry VMs and their CBOR form.
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

// Short name of a member in messages: the hash of its node id.
using MemberKey = std::uint64_t;

// What changes about a member; its identity never does.
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

// First message on a connection, both ways: who the sender is.
struct IdentifyMessage {
  Member self;

  auto Tie() const { return std::tie(this->self); }
};

// Asks for a PongMessage.
struct PingMessage {
  auto Tie() const { return std::tie(); }
};

struct PongMessage {
  auto Tie() const { return std::tie(); }
};

// News about members.
struct MembersMessage {
  std::vector<Member> members;        // Asked for by WantMembersMessage.
  std::vector<MemberUpdate> updates;  // About members known to the receiver.

  auto Tie() const { return std::tie(this->members, this->updates); }
};

// Asks for the whole records of members that were only named.
struct WantMembersMessage {
  std::vector<MemberKey> keys;

  auto Tie() const { return std::tie(this->keys); }
};

// News of one topic and the sender's digest of it.
struct PushMessage {
  std::string topic;
  Json delta;
  Json digest;

  auto Tie() const { return std::tie(this->topic, this->delta, this->digest); }
};

// Digests of what the sender holds; the receiver sends what it lacks.
struct DigestMessage {
  std::vector<std::uint32_t> member_buckets;  // Empty: members left out.
  std::map<std::string, Json> topics;
  bool wants_reply = false;  // The receiver sends its digests where they
                             // differ.

  auto Tie() const {
    return std::tie(this->member_buckets, this->topics, this->wants_reply);
  }
};

using PeerMessage = std::variant<IdentifyMessage,
                                 PingMessage,
                                 PongMessage,
                                 MembersMessage,
                                 WantMembersMessage,
                                 PushMessage,
                                 DigestMessage>;

// Thread safe.
std::string EncodePeerMessage(const PeerMessage& message);

// Reads a message from outside. Any malformed input is kInvalidArgument. Thread
// safe.
Result<PeerMessage> DecodePeerMessage(const std::string& bytes);

}  // namespace kumquatcart

#endif  // PEERS_PEER_MESSAGE_H_
