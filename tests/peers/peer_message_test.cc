#include "peers/peer_message.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "peers/peer_constants.h"

namespace kumquatcart {
namespace {

std::vector<PeerMessage> MakeOneOfEach() {
  Member member;
  member.identity.id = NodeId("n1");
  member.incarnation = 7;
  MemberUpdate update;
  update.key = ~0ULL;
  update.state = MemberState::kSuspect;
  update.config_offset = 41;
  DigestMessage digest;
  digest.member_buckets = {1, 0xffffffff};
  digest.topics["config"] = Json::array({17});
  digest.wants_reply = true;
  return {IdentifyMessage{member},
          PingMessage(),
          PongMessage(),
          MembersMessage{{member}, {update, update}},
          MemberRequestMessage{{1, 2}},
          PushMessage{"config", Json{{"records", {1, 2}}}, Json(18)},
          digest};
}

TEST_CASE("Every message is unchanged by encoding and decoding") {
  for (const PeerMessage& message : MakeOneOfEach()) {
    const Result<PeerMessage> decoded =
        DecodePeerMessage(EncodePeerMessage(message));
    REQUIRE(decoded.has_value());
    REQUIRE(decoded.value() == message);
  }
}

TEST_CASE("A shortened message is refused") {
  for (const PeerMessage& message : MakeOneOfEach()) {
    const std::string bytes = EncodePeerMessage(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      REQUIRE(!DecodePeerMessage(bytes.substr(0, size)).has_value());
    }
    REQUIRE(!DecodePeerMessage(bytes + "x").has_value());
  }
}

// A function of its own because RC_ASSERT evaluates both operands of `||`.
bool IsDecodedOrRefused(const std::string& bytes) {
  const Result<PeerMessage> decoded = DecodePeerMessage(bytes);
  return decoded.has_value() ||
         decoded.error().code == ErrorCode::kInvalidArgument;
}

TEST_CASE("Changed or random bytes are decoded or refused as malformed") {
  const std::vector<PeerMessage> messages = MakeOneOfEach();
  rc::prop("a few bytes are changed", [&] {
    const auto index = *rc::gen::inRange<std::size_t>(0, messages.size());
    std::string bytes = EncodePeerMessage(messages[index]);
    for (int change = *rc::gen::inRange(1, 5); change > 0; --change) {
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    RC_ASSERT(IsDecodedOrRefused(bytes));
  });
  rc::prop("all bytes are random", [](const std::string& bytes) {
    RC_ASSERT(IsDecodedOrRefused(bytes));
  });
}

TEST_CASE("Excessive nesting is refused before recursive decoding") {
  const std::string nested(kPeerMaxFrameBytes, '\x81');
  REQUIRE(!DecodePeerMessage(nested).has_value());
}

TEST_CASE("Wrong types, states and sizes are refused") {
  const std::vector<Json> malformed = {
      Json::array({99}),
      Json::array({5, 1, Json(), Json()}),
      Json::array({3, Json::array(), {{1, 1, 9, 0, true}}}),
      Json::array({4, std::vector<int>(kPeerMaxMemberUpdates + 1)}),
      Json(5),
  };
  for (const Json& json : malformed) {
    std::string bytes;
    Json::to_cbor(json, bytes);
    REQUIRE(!DecodePeerMessage(bytes).has_value());
  }
}

}  // namespace
}  // namespace kumquatcart
