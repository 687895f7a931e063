// Encoding of group records in the store.
#ifndef CONTROL_GROUP_RECORD_CODEC_H_
#define CONTROL_GROUP_RECORD_CODEC_H_

#include <cstdint>
#include <string>

#include "base/outcome.h"
#include "model/backend_server.h"
#include "platform/topic_batch.h"

namespace kumquatcart {

// Layout of an epoch, which stays below 2^53: JSON carries it to servers. From
// the highest bit on: era, offset, nonce.
inline constexpr int kEpochNonceBits = 10;
inline constexpr int kEpochOffsetBits = 30;
inline constexpr std::int64_t kMaxEpochEra = (std::int64_t{1} << 13) - 1;
inline constexpr std::int64_t kMaxEpoch = (std::int64_t{1} << 53) - 1;

// Returns the epoch of a record that is to be appended at `at`, higher than
// `highest_known` and than the epochs of all earlier positions. Two records get
// the same epoch only with the same nonce (modulo 1022), even if they are
// appended at one position, since the store has lost the first or carries out
// an append late. Beyond `kMaxEpochEra` eras or 2^30 records, epochs count on
// from `highest_known`. Thread safe.
std::int64_t MakeEpoch(TopicPosition at,
                       std::int64_t highest_known,
                       std::uint32_t nonce);

// Returns an epoch that is higher than those of all records before `at` and
// lower than that of the record there. Thread safe.
std::int64_t EpochBefore(TopicPosition at);

// Returns the epoch of a record at `offset` that does not state its epoch, as
// those of earlier versions of this program. Thread safe.
constexpr std::int64_t EpochAt(std::int64_t offset) {
  return offset + 1;
}

// Encodes all fields except the group name, which is the record's key. The
// epoch is left out if it is 0. Thread safe.
std::string EncodeGroupRecord(const GroupRecord& record);

// Errors: kInvalidArgument. Thread safe.
Result<GroupRecord> DecodeGroupRecord(const std::string& group,
                                      std::int64_t offset,
                                      const std::string& text);

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_RECORD_CODEC_H_
