#include "control/group_record_codec.h"

#include "base/json.h"

namespace kumquatcart {

std::string EncodeGroupRecord(const GroupRecord& record) {
  return Json{{"service", record.service},
              {"model", record.model},
              {"fabric_domain", record.fabric_domain},
              {"members", record.members},
              {"member_starts", record.member_starts}}
      .dump();
}

Result<GroupRecord> DecodeGroupRecord(const std::string& group,
                                      std::int64_t offset,
                                      const std::string& text) {
  BOOST_OUTCOME_TRY(json, ParseJson(text));
  try {
    GroupRecord record;
    record.group = group;
    record.epoch = EpochAt(offset);
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
