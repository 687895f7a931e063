#include "peers/permit_message.h"

#include <algorithm>

#include "peers/server_limit_codec.h"
#include "peers/tagged_message.h"

namespace kumquatcart {

namespace {

// First elements of the messages.
constexpr char kRequestTag[] = "permit-request";
constexpr char kReplyTag[] = "permit-reply";
// Bounds on received numbers; no schedule reaches as far ahead.
constexpr std::int64_t kMaxTimeUs = 60'000'000;
constexpr int kMaxCount = 1'000;

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
  return EncodeTaggedMessage(
      std::visit([](const auto& body) { return ToJsonArray(body); }, message));
}

std::optional<Result<PermitMessage>> DecodePermitMessage(
    const std::string& bytes) {
  const std::optional<Json> json = DecodeTaggedMessage(bytes);
  if (!json) {
    return std::nullopt;
  }
  try {
    const std::string& tag = TagOf(*json);
    if (tag == kRequestTag) {
      return DecodeRequest(*json);
    }
    if (tag == kReplyTag) {
      return DecodeReply(*json);
    }
    return std::nullopt;
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("permit message: ") + error.what());
  }
}

}  // namespace kumquatcart
