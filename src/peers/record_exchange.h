// Encoding of store records that an entry VM reads from another entry VM.
#ifndef PEERS_RECORD_EXCHANGE_H_
#define PEERS_RECORD_EXCHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "base/outcome.h"
#include "platform/topic_batch.h"

namespace kumquatcart {

// Request for the records of a topic, starting at a position, or for the
// retained ones only.
struct RecordQuery {
  StoreTopic topic = StoreTopic::kOperator;
  TopicPosition from;

  auto Tie() const { return std::tie(this->topic, this->from); }
};

// Returns the HTTP request target. Thread safe.
std::string EncodeRecordQuery(const RecordQuery& query);

// Returns nothing if `target` is not a valid record query. Thread safe.
std::optional<RecordQuery> DecodeRecordQuery(const std::string& target);

// Encodes a batch as CBOR. Thread safe.
std::string EncodeTopicBatch(const TopicBatch& batch);

// Decodes untrusted CBOR. Errors: kInvalidArgument if it is malformed. Thread
// safe.
Result<TopicBatch> DecodeTopicBatch(const std::string& bytes);

}  // namespace kumquatcart

#endif  // PEERS_RECORD_EXCHANGE_H_
