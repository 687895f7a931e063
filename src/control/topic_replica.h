// This process's copy of one topic of the store.
#ifndef CONTROL_TOPIC_REPLICA_H_
#define CONTROL_TOPIC_REPLICA_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "platform/store_client.h"

namespace kumquatcart {

// Keeps the newest record of each key, whatever the order in which batches of
// the store and of peers arrive, and answers peers from it. Not thread safe.
class TopicReplica {
 public:
  // Called with each record that is newer than the known one of its key. A
  // record without a value means that the key was removed.
  using Apply = std::function<void(const TopicRecord&)>;

  explicit TopicReplica(Apply apply) : apply(std::move(apply)) {}

  // The offset after the last one seen.
  std::int64_t End() const { return this->end; }

  // The offset from which on every removal is known. Before it, this replica
  // has only seen which keys were left.
  std::int64_t HistoryStart() const { return this->history_start; }

  // Adopts what is newer in `batch`. Precondition: it was read from an offset
  // that this replica had reached, or lists all keys.
  void Merge(const TopicBatch& batch);

  // Returns the newest record of each key from offset `from` on, for a peer
  // that has seen the topic up to there. Lists the other keys that exist if
  // removals may be missing.
  TopicBatch RecordsSince(std::int64_t from) const;

 private:
  void MergeRecord(const TopicRecord& record);
  // Removes the keys that did not exist any more at the end of `batch`, which
  // lists all others.
  void RemoveUnlisted(const TopicBatch& batch);

  const Apply apply;
  std::int64_t end = 0;
  std::int64_t history_start = 0;
  std::map<std::string, TopicRecord> newest;  // By key, with removed keys.
  // Keys that exist, but whose record was never received.
  std::set<std::string> unread_keys;
};

}  // namespace kumquatcart

#endif  // CONTROL_TOPIC_REPLICA_H_
