#include "peers/peer_message.h"

#include <utility>

#include "peers/peer_constants.h"

namespace kumquatcart {

namespace {

// First element of each encoded message; equals the index in PeerMessage.
enum class MessageType : std::size_t {
  kIdentify,
  kPing,
  kPong,
  kMembers,
  kWantMembers,
  kPush,
  kDigest,
};

Json ToJson(const MemberUpdate& update) {
  return Json::array({update.key, update.incarnation,
                      static_cast<int>(update.state), update.config_offset,
                      update.platform_reachable});
}

// The functions below throw Json::exception on wrong types and sizes;
// DecodePeerMessage converts it into an error.

MemberState ReadState(const Json& json) {
  const int number = json.get<int>();
  const int highest = static_cast<int>(MemberState::kLeaving);
  if (number < 0 || number > highest) {
    throw Json::out_of_range::create(401, "unknown member state", nullptr);
  }
  return static_cast<MemberState>(number);
}

MemberUpdate ReadUpdate(const Json& json) {
  MemberUpdate update;
  update.key = json.at(0).get<MemberKey>();
  update.incarnation = json.at(1).get<std::uint64_t>();
  update.state = ReadState(json.at(2));
  update.config_offset = json.at(3).get<Offset>();
  update.platform_reachable = json.at(4).get<bool>();
  return update;
}

const Json& BoundedArray(const Json& json) {
  if (!json.is_array() || json.size() > kPeerMaxMemberUpdates) {
    throw Json::type_error::create(302, "not a bounded array", nullptr);
  }
  return json;
}

Json EncodeFields(const IdentifyMessage& message) {
  return Json::array({message.self});
}

Json EncodeFields(const PingMessage&) {
  return Json::array();
}

Json EncodeFields(const PongMessage&) {
  return Json::array();
}

Json EncodeFields(const MembersMessage& message) {
  Json updates = Json::array();
  for (const MemberUpdate& update : message.updates) {
    updates.push_back(ToJson(update));
  }
  return Json::array({message.members, std::move(updates)});
}

Json EncodeFields(const MemberRequestMessage& message) {
  return Json::array({message.keys});
}

Json EncodeFields(const PushMessage& message) {
  return Json::array({message.topic, message.delta, message.digest});
}

Json EncodeFields(const DigestMessage& message) {
  return Json::array(
      {message.member_buckets, message.topics, message.wants_reply});
}

MembersMessage ReadMembers(const Json& json) {
  MembersMessage message;
  for (const Json& member : BoundedArray(json.at(1))) {
    message.members.push_back(member.get<Member>());
  }
  for (const Json& update : BoundedArray(json.at(2))) {
    message.updates.push_back(ReadUpdate(update));
  }
  return message;
}

DigestMessage ReadDigest(const Json& json) {
  DigestMessage message;
  message.member_buckets =
      BoundedArray(json.at(1)).get<std::vector<std::uint32_t>>();
  message.topics = json.at(2).get<std::map<std::string, Json>>();
  message.wants_reply = json.at(3).get<bool>();
  return message;
}

Result<PeerMessage> ReadMessage(const Json& json) {
  switch (json.at(0).get<MessageType>()) {
    case MessageType::kIdentify:
      return IdentifyMessage{json.at(1).get<Member>()};
    case MessageType::kPing:
      return PingMessage();
    case MessageType::kPong:
      return PongMessage();
    case MessageType::kMembers:
      return ReadMembers(json);
    case MessageType::kWantMembers:
      return MemberRequestMessage{
          BoundedArray(json.at(1)).get<std::vector<MemberKey>>()};
    case MessageType::kPush:
      return PushMessage{json.at(1).get<std::string>(), json.at(2), json.at(3)};
    case MessageType::kDigest:
      return ReadDigest(json);
  }
  return MakeError(ErrorCode::kInvalidArgument, "unknown message type");
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  Json json =
      std::visit([](const auto& body) { return EncodeFields(body); }, message);
  json.insert(json.begin(), message.index());
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

Result<PeerMessage> DecodePeerMessage(const std::string& bytes) {
  BOOST_OUTCOME_TRY(json, ParseCbor(bytes));
  try {
    return ReadMessage(json);
  } catch (const std::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument, error.what());
  }
}

}  // namespace kumquatcart
