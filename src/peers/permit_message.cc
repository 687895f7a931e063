#include "peers/permit_message.h"

#include <algorithm>
#include <vector>

#include "base/json.h"
#include "peers/server_limit_codec.h"

namespace kumquatcart {

namespace {

// First elements of the messages. Digests begin with a number.
constexpr char kRequestTag[] = "permit-request";
constexpr char kReplyTag[] = "permit-reply";
// Bounds on received numbers; no schedule reaches as far ahead.
constexpr std::int64_t kMaxTimeUs = 60'000'000;
constexpr int kMaxCount = 1'000;

// Whether `bytes` may be a CBOR array whose first element is a text. The header
// of an array as short as a message is one byte; the upper three bits of the
// next one are the type of its first element.
bool BeginsWithText(const std::string& bytes) {
  constexpr unsigned kTypeShift = 5;
  constexpr unsigned kTextType = 3;
  return bytes.size() > 1 &&
         static_cast<unsigned char>(bytes[1]) >> kTypeShift == kTextType;
}

Json ToJsonArray(const PermitRequest& request) {
  return Json::array({kRequestTag, request.node, request.sequence,
                      EncodeServerLimit(request.limit), request.wanted});
}

Json ToJsonArray(const PermitReply& reply) {
  return Json::array({kReplyTag, reply.node, reply.sequence, reply.server,
                      reply.coordinates, reply.count, reply.first_in_us,
                      reply.interval_us, reply.nodes});
}

PermitMessage DecodeRequest(const Json& json) {
  PermitRequest request;
  request.node = json.at(1).get<std::string>();
  request.sequence = json.at(2).get<std::int64_t>();
  request.limit = DecodeServerLimit(json.at(3));
  request.wanted = std::clamp(json.at(4).get<int>(), 0, kMaxCount);
  return request;
}

PermitMessage DecodeReply(const Json& json) {
  PermitReply reply;
  reply.node = json.at(1).get<std::string>();
  reply.sequence = json.at(2).get<std::int64_t>();
  reply.server = json.at(3).get<std::string>();
  reply.coordinates = json.at(4).get<bool>();
  reply.count = std::clamp(json.at(5).get<int>(), 0, kMaxCount);
  reply.first_in_us =
      std::clamp<std::int64_t>(json.at(6).get<std::int64_t>(), 0, kMaxTimeUs);
  reply.interval_us =
      std::clamp<std::int64_t>(json.at(7).get<std::int64_t>(), 0, kMaxTimeUs);
  reply.nodes = std::max(json.at(8).get<int>(), 1);
  return reply;
}

}  // namespace

std::string EncodePermitMessage(const PermitMessage& message) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(
      std::visit([](const auto& body) { return ToJsonArray(body); }, message));
  return std::string(bytes.begin(), bytes.end());
}

std::optional<Result<PermitMessage>> DecodePermitMessage(
    const std::string& bytes) {
  if (!BeginsWithText(bytes)) {
    return std::nullopt;
  }
  Json json;
  try {
    json = Json::from_cbor(bytes);
  } catch (const Json::exception&) {
    return std::nullopt;  // The decoder of digests reports it.
  }
  if (!json.is_array() || json.empty() || !json.front().is_string()) {
    return std::nullopt;
  }
  try {
    const std::string& tag = json.front().get_ref<const std::string&>();
    if (tag == kRequestTag) {
      return DecodeRequest(json);
    }
    if (tag == kReplyTag) {
      return DecodeReply(json);
    }
    return MakeError(ErrorCode::kInvalidArgument, "unknown message " + tag);
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("permit message: ") + error.what());
  }
}

}  // namespace kumquatcart
