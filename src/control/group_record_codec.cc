#include "control/group_record_codec.h"

#include <algorithm>

#include "base/json.h"

namespace kumquatcart {

namespace {

constexpr std::int64_t kMaxEpochOffset =
    (std::int64_t{1} << kEpochOffsetBits) - 1;
// The two lowest numbers are those of EpochBefore.
constexpr std::uint32_t kFirstNonce = 2;
constexpr std::uint32_t kNonces = (1U << kEpochNonceBits) - kFirstNonce;
constexpr char kEpochField[] = "epoch";

}  // namespace

std::int64_t EpochBefore(TopicPosition at) {
  const std::int64_t place =
      (std::min(at.era, kMaxEpochEra) << kEpochOffsetBits) +
      std::min(at.offset, kMaxEpochOffset);
  return std::max<std::int64_t>(place << kEpochNonceBits, 1);
}

std::int64_t MakeEpoch(TopicPosition at,
                       std::int64_t highest_known,
                       std::uint32_t nonce) {
  const std::int64_t place = std::max(
      EpochBefore(at) >> kEpochNonceBits,
      (highest_known >> kEpochNonceBits) + (highest_known > 0 ? 1 : 0));
  return (place << kEpochNonceBits) + kFirstNonce + nonce % kNonces;
}

std::string EncodeGroupRecord(const GroupRecord& record) {
  Json json{{"service", record.service},
            {"model", record.model},
            {"fabric_domain", record.fabric_domain},
            {"members", record.members},
            {"member_starts", record.member_starts}};
  if (record.epoch != 0) {
    json[kEpochField] = record.epoch;
  }
  return json.dump();
}

Result<GroupRecord> DecodeGroupRecord(const std::string& group,
                                      std::int64_t offset,
                                      const std::string& text) {
  BOOST_OUTCOME_TRY(json, ParseJson(text));
  try {
    GroupRecord record;
    record.group = group;
    record.epoch = json.value(kEpochField, EpochAt(offset));
    record.service = json.at("service").get<std::string>();
    record.model = json.at("model").get<std::string>();
    record.fabric_domain = json.at("fabric_domain").get<std::string>();
    record.members = json.at("members").get<std::vector<std::string>>();
    record.member_starts =
        json.value("member_starts", std::vector<std::int64_t>());
    return record;
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("group record: ") + error.what());
  }
}

}  // namespace kumquatcart
