#include "control/topic_replica.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/logging.h"

namespace kumquatcart {

namespace {

// Bounds the memory of removed keys; an older copy of the store shows those of
// some seconds.
constexpr std::size_t kMaxRemovedValues = 2048;

}  // namespace

void TopicReplica::Merge(const TopicBatch& batch) {
  if (batch.era > this->era && batch.other_keys) {
    this->BeginEra(batch);
    this->MergeRetained(batch.retained);
    return;
  }
  if (batch.era == this->era) {
    this->MergeRetained(batch.retained);
  }
  if (batch.era != this->era || batch.end <= this->end) {
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
  TopicRecord& known = this->newest[record.key];
  if (!known.key.empty() && known.offset >= record.offset) {
    return;
  }
  this->unread_keys.erase(record.key);
  const TopicRecord former = std::exchange(known, record);
  if (this->IsOutdated(record, /*is_from_copy=*/false)) {
    LogInfo(
        "record_outdated",
        {{"key", record.key}, {"era", this->era}, {"offset", record.offset}});
    this->Retain(record.key, former.value);
    return;
  }
  this->retained.erase(record.key);
  if (record.value) {
    this->removed_values.erase(record.key);
  } else if (former.value) {
    if (this->removed_values.size() == kMaxRemovedValues) {
      this->removed_values.erase(this->removed_values.begin());
    }
    this->removed_values[record.key] = *former.value;
  }
  this->apply(record);
}

void TopicReplica::BeginEra(const TopicBatch& batch) {
  const std::map<std::string, TopicRecord> former =
      std::exchange(this->newest, {});
  this->unread_keys.clear();
  this->era = batch.era;
  this->end = batch.end;
  this->history_start = batch.end;
  for (const TopicRecord& record : batch.records) {
    this->newest[record.key] = record;
    const auto known = former.find(record.key);
    if (this->IsOutdated(record, /*is_from_copy=*/true)) {
      LogInfo(
          "record_outdated",
          {{"key", record.key}, {"era", this->era}, {"offset", record.offset}});
      this->Retain(record.key,
                   known == former.end() ? std::nullopt : known->second.value);
      if (this->retained.count(record.key) > 0) {
        continue;
      }
      // What is known is not at hand, so the store's record is better.
    }
    this->retained.erase(record.key);
    if (known == former.end() || known->second.value != record.value) {
      this->apply(record);
    }
  }
  for (const std::string& key : *batch.other_keys) {
    if (this->newest.count(key) == 0) {
      this->unread_keys.insert(key);
    }
  }
  for (const auto& [key, record] : former) {
    if (record.value && this->Lacks(key)) {
      this->Retain(key, record.value);
    }
  }
  for (const auto& [key, record] : this->retained) {
    if (!record.is_removed && this->Lacks(key) && this->rules.handle_lost) {
      this->rules.handle_lost(key);
    }
  }
}

bool TopicReplica::Lacks(const std::string& key) const {
  return this->newest.count(key) == 0 && this->unread_keys.count(key) == 0;
}

bool TopicReplica::IsOutdated(const TopicRecord& record,
                              bool is_from_copy) const {
  return this->rules.is_outdated && record.value &&
         this->rules.is_outdated(record, is_from_copy);
}

void TopicReplica::Retain(const std::string& key,
                          const std::optional<std::string>& value) {
  // What is retained already is newer than any record of the store since.
  if (this->retained.count(key) > 0) {
    return;
  }
  const auto last = this->removed_values.find(key);
  if (value) {
    this->retained[key] = {key, *value, /*is_removed=*/false};
  } else if (last != this->removed_values.end()) {
    this->retained[key] = {key, last->second, /*is_removed=*/true};
  }
}

void TopicReplica::MergeRetained(const std::vector<RetainedRecord>& records) {
  for (const RetainedRecord& record : records) {
    if (this->rules.apply_retained && this->rules.apply_retained(record)) {
      this->retained[record.key] = record;
      if (!record.is_removed && this->newest.count(record.key) == 0 &&
          this->rules.handle_lost) {
        this->rules.handle_lost(record.key);
      }
    }
  }
}

void TopicReplica::DropRetainedRemoval(const std::string& key) {
  this->retained.erase(key);
  const TopicRecord* present = this->Find(key);
  if (present != nullptr && present->value) {
    LogInfo("retained_removal_dropped",
            {{"key", key}, {"era", this->era}, {"offset", present->offset}});
    this->apply(*present);
  }
}

const TopicRecord* TopicReplica::Find(const std::string& key) const {
  const auto found = this->newest.find(key);
  return found == this->newest.end() ? nullptr : &found->second;
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

TopicBatch TopicReplica::RecordsSince(TopicPosition from) const {
  TopicBatch batch;
  batch.era = this->era;
  if (from == kRetainedOnly) {
    for (const auto& entry : this->retained) {
      batch.retained.push_back(entry.second);
    }
    return batch;
  }
  batch.end = this->end;
  const std::int64_t first = from.era == this->era ? from.offset : 0;
  if (from.era != this->era || first < this->history_start) {
    batch.other_keys.emplace(this->unread_keys.begin(),
                             this->unread_keys.end());
    for (const auto& entry : this->retained) {
      batch.retained.push_back(entry.second);
    }
  }
  for (const auto& [key, record] : this->newest) {
    if (record.offset >= first) {
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
