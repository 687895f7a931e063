// Records of groups as they stand in the store.
#ifndef CONTROL_GROUP_RECORD_CODEC_H_
#define CONTROL_GROUP_RECORD_CODEC_H_

#include <cstdint>
#include <string>

#include "base/outcome.h"
#include "model/backend_server.h"

namespace kumquatcart {

// The epoch of a record at `offset`. Offsets only grow, so a later record of
// any group has a higher epoch than all before it. Thread safe.
constexpr std::int64_t EpochAt(std::int64_t offset) {
  return offset + 1;
}

// Encodes all but the group's name, which is the record's key, and the epoch.
// Thread safe.
std::string EncodeGroupRecord(const GroupRecord& record);

// Errors: kInvalidArgument. Thread safe.
Result<GroupRecord> DecodeGroupRecord(const std::string& group,
                                      std::int64_t offset,
                                      const std::string& text);

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_RECORD_CODEC_H_
