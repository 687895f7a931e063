#include "control/topic_replica.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace kumquatcart {

void TopicReplica::Merge(const TopicBatch& batch) {
  if (batch.end <= this->end) {
    return;
  }
  for (const TopicRecord& record : batch.records) {
    // A record before the end that is not known was removed again.
    if (record.offset >= this->end || this->unread_keys.count(record.key) > 0) {
      this->MergeRecord(record);
    }
  }
  if (batch.other_keys) {
    this->RemoveUnlisted(batch);
    // Keys may have been written and removed between the two ends.
    this->history_start = batch.end;
  }
  this->end = batch.end;
}

void TopicReplica::MergeRecord(const TopicRecord& record) {
  const auto known = this->newest.find(record.key);
  if (known != this->newest.end() && known->second.offset >= record.offset) {
    return;
  }
  this->unread_keys.erase(record.key);
  this->newest[record.key] = record;
  this->apply(record);
}

void TopicReplica::RemoveUnlisted(const TopicBatch& batch) {
  std::set<std::string> listed(batch.other_keys->begin(),
                               batch.other_keys->end());
  this->unread_keys.clear();
  for (const std::string& key : listed) {
    if (this->newest.count(key) == 0) {
      this->unread_keys.insert(key);
    }
  }
  for (const TopicRecord& record : batch.records) {
    listed.insert(record.key);
  }
  std::vector<std::string> removed;
  for (const auto& [key, record] : this->newest) {
    // A known record that is newer than the batch outlives it.
    if (listed.count(key) == 0 && record.value && record.offset < batch.end) {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed) {
    this->MergeRecord({key, std::nullopt, batch.end - 1});
  }
}

TopicBatch TopicReplica::RecordsSince(std::int64_t from) const {
  TopicBatch batch;
  batch.end = this->end;
  if (from < this->history_start) {
    batch.other_keys.emplace(this->unread_keys.begin(),
                             this->unread_keys.end());
  }
  for (const auto& [key, record] : this->newest) {
    if (record.offset >= from) {
      batch.records.push_back(record);
    } else if (batch.other_keys && record.value) {
      batch.other_keys->push_back(key);
    }
  }
  std::sort(batch.records.begin(), batch.records.end(),
            [](const TopicRecord& left, const TopicRecord& right) {
              return left.offset < right.offset;
            });
  return batch;
}

}  // namespace kumquatcart
