// This process's copy of one topic of the store.
#ifndef CONTROL_TOPIC_REPLICA_H_
#define CONTROL_TOPIC_REPLICA_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "platform/topic_batch.h"

namespace kumquatcart {

// Order of a topic's records by their content. The store's order ends where it
// comes back from an older copy: the copy shows former records again, and what
// was written since is written again in any order, or not at all.
struct ContentRules {
  // Whether `record` is older than what this process knows of its key.
  // `is_from_copy`: it may also be older than the key's removal. None: never.
  std::function<bool(const TopicRecord& record, bool is_from_copy)> is_outdated;
  // Applies a record that a peer has retained, if it is newer than what this
  // process knows of its key, and returns whether it is. None: ignored.
  std::function<bool(const RetainedRecord& record)> apply_retained;
  // Called with each key that existed and that the older copy lacks. None:
  // nothing follows.
  std::function<void(const std::string& key)> handle_lost;
};

// Keeps the newest record of each key, whatever the order in which batches of
// the store and of peers arrive, and answers peers from it. Not thread safe.
class TopicReplica {
 public:
  // Called with each record that is newer than the known one of its key. A
  // record without a value means that the key was removed.
  using Apply = std::function<void(const TopicRecord&)>;

  explicit TopicReplica(Apply apply, ContentRules rules = {})
      : apply(std::move(apply)), rules(std::move(rules)) {}

  // The offset after the last one seen.
  std::int64_t End() const { return this->end; }
  // The same with its era.
  TopicPosition Position() const { return {this->era, this->end}; }

  // The offset from which on every removal is known. Before it, this replica
  // has only seen which keys were left.
  std::int64_t HistoryStart() const { return this->history_start; }

  // Adopts what is newer in `batch`. Precondition: it was read from an offset
  // that this replica had reached in the same era, or lists all keys. One of an
  // earlier era is ignored, and so is one of a later era that does not list all
  // keys.
  void Merge(const TopicBatch& batch);

  // Returns the newest record of each key from `from` on, for a peer that has
  // seen the topic up to there. Lists the other keys that exist if removals may
  // be missing, as they are if `from` is of another era. For kRetainedOnly,
  // only retained records.
  TopicBatch RecordsSince(TopicPosition from) const;

  // Applies the store's record of a key whose removal it has lost: if the key
  // has not been removed again after some time, it exists. Precondition: its
  // removal is retained.
  void DropRetainedRemoval(const std::string& key);

  // The store's newest record of `key`, or its removal. Null: there is none.
  const TopicRecord* Find(const std::string& key) const;

  // What is newer than the store's records, by key.
  const std::map<std::string, RetainedRecord>& Retained() const {
    return this->retained;
  }

 private:
  void MergeRecord(const TopicRecord& record);
  // Replaces the records by those of a later era. Precondition: `batch` lists
  // all keys.
  void BeginEra(const TopicBatch& batch);
  void MergeRetained(const std::vector<RetainedRecord>& records);
  // Removes the keys that did not exist any more at the end of `batch`, which
  // lists all others.
  void RemoveUnlisted(const TopicBatch& batch);
  bool IsOutdated(const TopicRecord& record, bool is_from_copy) const;
  // Whether the store has no record of `key`.
  bool Lacks(const std::string& key) const;
  // Keeps `value`, which the store's record of `key` does not supersede. None:
  // the removal of the key.
  void Retain(const std::string& key, const std::optional<std::string>& value);

  const Apply apply;
  const ContentRules rules;
  StoreEra era = 0;
  std::int64_t end = 0;
  std::int64_t history_start = 0;
  std::map<std::string, TopicRecord> newest;  // By key, with removed keys.
  // Last values of removed keys.
  std::map<std::string, std::string> removed_values;
  std::map<std::string, RetainedRecord> retained;  // By key.
  // Keys that exist, but whose record was never received.
  std::set<std::string> unread_keys;
};

}  // namespace kumquatcart

#endif  // CONTROL_TOPIC_REPLICA_H_
