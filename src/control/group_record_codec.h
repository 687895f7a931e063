// Encoding of group records in the store.
#ifndef CONTROL_GROUP_RECORD_CODEC_H_
#define CONTROL_GROUP_RECORD_CODEC_H_

#include <cstdint>
#include <string>

#include "base/outcome.h"
#include "model/backend_server.h"

namespace kumquatcart {

// Returns the epoch of the record at `offset`. Offsets increase monotonically,
// so a record has a higher epoch than all earlier records of any group. Thread
// safe.
constexpr std::int64_t EpochAt(std::int64_t offset) {
  return offset + 1;
}

// Encodes all fields except the group name, which is the record's key, and the
// epoch, which follows from the offset. Thread safe.
std::string EncodeGroupRecord(const GroupRecord& record);

// Errors: kInvalidArgument. Thread safe.
Result<GroupRecord> DecodeGroupRecord(const std::string& group,
                                      std::int64_t offset,
                                      const std::string& text);

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_RECORD_CODEC_H_
