#include "peers/slot_message.h"

#include <algorithm>
#include <map>

#include "peers/tagged_message.h"

namespace kumquatcart {

namespace {

constexpr char kAskTag[] = "slot-ask";
constexpr char kReplyTag[] = "slot-reply";
constexpr char kReturnTag[] = "slot-return";
constexpr char kReportTag[] = "slot-report";
// Bound on received times; no request waits as long.
constexpr std::int64_t kMaxTimeUs = 60'000'000;
constexpr std::int64_t kMaxPromptTokens = 100'000'000;

std::int64_t DecodeTime(const Json& json) {
  return std::clamp(json.get<std::int64_t>(), -kMaxTimeUs, kMaxTimeUs);
}

Json ToJsonArray(const SlotAsk& ask) {
  return Json::array({kAskTag, ask.node, ask.id, ask.service, ask.model,
                      ask.excluded, ask.prompt_tokens, ask.gap_target_us,
                      ask.start_in_us, ask.wait_us});
}

Json ToJsonArray(const SlotReply& reply) {
  return Json::array({kReplyTag, reply.node, reply.id,
                      static_cast<int>(reply.state), reply.group, reply.epoch,
                      reply.server, reply.retry_after_us});
}

Json ToJsonArray(const SlotReturn& slot) {
  return Json::array({kReturnTag, slot.node, slot.id});
}

Json ToJsonArray(const SlotReport& report) {
  Json held = Json::array();
  for (const HeldSlot& slot : report.held) {
    held.push_back(Json::array({slot.id, slot.server}));
  }
  return Json::array({kReportTag, report.node, std::move(held)});
}

SlotMessage DecodeAsk(const Json& json) {
  SlotAsk ask;
  ask.node = json.at(1).get<std::string>();
  ask.id = json.at(2).get<std::int64_t>();
  ask.service = json.at(3).get<std::string>();
  ask.model = json.at(4).get<std::string>();
  ask.excluded = json.at(5).get<std::vector<std::string>>();
  ask.prompt_tokens = std::clamp<std::int64_t>(json.at(6).get<std::int64_t>(),
                                               0, kMaxPromptTokens);
  ask.gap_target_us = DecodeTime(json.at(7));
  ask.start_in_us = DecodeTime(json.at(8));
  ask.wait_us = DecodeTime(json.at(9));
  return ask;
}

SlotMessage DecodeReply(const Json& json) {
  SlotReply reply;
  reply.node = json.at(1).get<std::string>();
  reply.id = json.at(2).get<std::int64_t>();
  const int state = json.at(3).get<int>();
  const bool is_known = state >= static_cast<int>(SlotState::kGranted) &&
                        state <= static_cast<int>(SlotState::kUnavailable);
  reply.state =
      is_known ? static_cast<SlotState>(state) : SlotState::kUnavailable;
  reply.group = json.at(4).get<std::string>();
  reply.epoch = json.at(5).get<std::int64_t>();
  reply.server = json.at(6).get<std::string>();
  reply.retry_after_us = std::max<std::int64_t>(DecodeTime(json.at(7)), 0);
  return reply;
}

SlotMessage DecodeReturn(const Json& json) {
  return SlotReturn{json.at(1).get<std::string>(),
                    json.at(2).get<std::int64_t>()};
}

SlotMessage DecodeReport(const Json& json) {
  SlotReport report;
  report.node = json.at(1).get<std::string>();
  for (const Json& slot : json.at(2)) {
    report.held.push_back(
        {slot.at(0).get<std::int64_t>(), slot.at(1).get<std::string>()});
  }
  return report;
}

using Decoder = SlotMessage (*)(const Json&);

const std::map<std::string, Decoder>& Decoders() {
  static const auto* const k_decoders =
      new std::map<std::string, Decoder>{{kAskTag, &DecodeAsk},
                                         {kReplyTag, &DecodeReply},
                                         {kReturnTag, &DecodeReturn},
                                         {kReportTag, &DecodeReport}};
  return *k_decoders;
}

}  // namespace

const char* ToString(SlotState state) {
  constexpr const char* kNames[] = {"granted", "queued", "rejected",
                                    "unavailable"};
  return kNames[static_cast<int>(state)];
}

std::string EncodeSlotMessage(const SlotMessage& message) {
  return EncodeTaggedMessage(
      std::visit([](const auto& body) { return ToJsonArray(body); }, message));
}

std::optional<Result<SlotMessage>> DecodeSlotMessage(const std::string& bytes) {
  const std::optional<Json> json = DecodeTaggedMessage(bytes);
  if (!json) {
    return std::nullopt;
  }
  const auto decoder = Decoders().find(TagOf(*json));
  if (decoder == Decoders().end()) {
    return std::nullopt;
  }
  try {
    return decoder->second(*json);
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("slot message: ") + error.what());
  }
}

}  // namespace kumquatcart
