// Records of the store's topics, and their places.
#ifndef PLATFORM_TOPIC_BATCH_H_
#define PLATFORM_TOPIC_BATCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"

namespace kumquatcart {

// The topics that the system uses.
enum class StoreTopic {
  kOperator,  // The operator's configuration; read only.
  kServers,   // Backend servers register there; read only.
  kGroups,    // Records of replica groups.
  kNodes,     // Entry VMs announce their peer addresses.
};
inline constexpr int kStoreTopicCount = 4;

// Lower-case name for logs. Thread safe.
const char* ToString(StoreTopic topic);

// Rises each time the store comes back from an older copy of itself, which may
// lack what was written last. Offsets of two eras may name different records.
using StoreEra = std::int64_t;

// A place in a topic. Those of a later era follow all of earlier ones.
struct TopicPosition {
  StoreEra era = 0;
  std::int64_t offset = 0;

  auto Tie() const { return std::tie(this->era, this->offset); }
};

// Stands for no position, in a request to a peer for its retained records.
inline constexpr TopicPosition kRetainedOnly{-1, 0};

struct TopicRecord {
  std::string key;
  std::optional<std::string> value;  // None: the key was dropped.
  std::int64_t offset = 0;

  auto Tie() const { return std::tie(this->key, this->value, this->offset); }
};

// What was read of a key before the store lost it with an older copy, where its
// content is newer than what the store has of the key.
struct RetainedRecord {
  std::string key;
  std::string value;        // The last one.
  bool is_removed = false;  // The key was removed after that.

  auto Tie() const {
    return std::tie(this->key, this->value, this->is_removed);
  }
};

// Records in order of their offsets, and the offset that comes next.
struct TopicBatch {
  std::vector<TopicRecord> records;
  std::int64_t end = 0;
  // Set if removals may be missing in `records`: the keys that exist without a
  // record in the batch. Keys in neither do not exist.
  std::optional<std::vector<std::string>> other_keys = std::nullopt;
  StoreEra era = 0;  // Of all offsets.
  // Only from peers.
  std::vector<RetainedRecord> retained = {};

  // The place after the last record.
  TopicPosition Position() const { return {this->era, this->end}; }

  auto Tie() const {
    return std::tie(this->records, this->end, this->other_keys, this->era,
                    this->retained);
  }
};

}  // namespace kumquatcart

#endif  // PLATFORM_TOPIC_BATCH_H_
