// Records of the store as one entry VM hands them to another.
#ifndef PEERS_RECORD_EXCHANGE_H_
#define PEERS_RECORD_EXCHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "base/outcome.h"
#include "platform/store_client.h"

namespace kumquatcart {

// Asks for a topic's records from an offset on.
struct RecordQuery {
  StoreTopic topic = StoreTopic::kOperator;
  std::int64_t from = 0;

  auto Tie() const { return std::tie(this->topic, this->from); }
};

// Path and query of the call. Thread safe.
std::string EncodeRecordQuery(const RecordQuery& query);

// None where `target` is no such call. Thread safe.
std::optional<RecordQuery> DecodeRecordQuery(const std::string& target);

// CBOR. Thread safe.
std::string EncodeBatch(const TopicBatch& batch);

// Errors: kInvalidArgument. Thread safe.
Result<TopicBatch> DecodeBatch(const std::string& bytes);

}  // namespace kumquatcart

#endif  // PEERS_RECORD_EXCHANGE_H_
