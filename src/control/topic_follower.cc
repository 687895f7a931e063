#include "control/topic_follower.h"

#include <algorithm>
#include <vector>

#include "base/logging.h"

namespace kumquatcart {

namespace {

// How long a read waits for the next record. Long, since each read is a call;
// peers' digests tell of a read that fell silent.
constexpr Duration kReadWait = std::chrono::seconds(15);
// Pause after a failed call.
constexpr Duration kRetryPause = std::chrono::milliseconds(200);
// Time for the waiting read to bring what a peer has seen already.
constexpr Duration kPeerLead = std::chrono::milliseconds(150);

}  // namespace

void TopicFollower::Start() {
  this->loop->Spawn([this](Coroutine yield) {
    for (;;) {
      const std::int64_t before = this->end;
      const bool read = this->synced && !this->records_expired
                            ? this->ReadMore(kReadWait, yield)
                            : this->ReadNewest(yield);
      if (!read) {
        this->loop->Sleep(kRetryPause, yield);
      } else if (this->end != before) {
        this->loop->Sleep(this->batch_pause, yield);
      }
    }
  });
}

bool TopicFollower::ReadNewest(Coroutine yield) {
  const Result<TopicBatch> batch = this->store->ReadNewest(this->topic, yield);
  if (batch.has_error()) {
    LogWarning("topic_read_failed", {{"topic", ToString(this->topic)},
                                     {"reason", batch.error().message}});
    return false;
  }
  this->TakeSnapshot(batch.value());
  this->records_expired = false;
  if (!this->synced) {
    this->synced = true;
    LogInfo("topic_synced",
            {{"topic", ToString(this->topic)}, {"end", this->end}});
  }
  return true;
}

void TopicFollower::TakeSnapshot(const TopicBatch& batch) {
  std::map<std::string, std::int64_t> listed;
  for (const TopicRecord& record : batch.records) {
    listed[record.key] = record.offset;
    this->Take(record);
  }
  // A key that the store no longer lists was dropped, unless the page is older
  // than what is known.
  std::vector<std::string> dropped;
  for (const auto& [key, offset] : this->offsets) {
    if (listed.count(key) == 0 && offset < batch.end) {
      dropped.push_back(key);
    }
  }
  for (const std::string& key : dropped) {
    this->apply(TopicRecord{key, std::nullopt, batch.end});
    this->offsets.erase(key);
  }
  this->end = std::max(this->end, batch.end);
}

bool TopicFollower::ReadMore(Duration wait, Coroutine yield) {
  const Result<TopicBatch> batch =
      this->store->ReadSince(this->topic, this->end, wait, yield);
  if (batch.has_error()) {
    if (batch.error().code == ErrorCode::kExpired) {
      LogInfo("topic_records_expired",
              {{"topic", ToString(this->topic)}, {"from", this->end}});
      this->records_expired = true;
      return true;
    }
    LogWarning("topic_read_failed", {{"topic", ToString(this->topic)},
                                     {"reason", batch.error().message}});
    return false;
  }
  for (const TopicRecord& record : batch.value().records) {
    this->Take(record);
  }
  this->end = std::max(this->end, batch.value().end);
  return true;
}

void TopicFollower::Take(const TopicRecord& record) {
  const auto known = this->offsets.find(record.key);
  if (known != this->offsets.end() && known->second >= record.offset) {
    return;
  }
  this->offsets[record.key] = record.offset;
  this->apply(record);
}

void TopicFollower::NotePeerEnd(std::int64_t peer_end) {
  if (peer_end <= this->end || this->catching_up || !this->synced) {
    return;
  }
  this->catching_up = true;
  this->loop->Spawn([this, peer_end](Coroutine yield) {
    this->loop->Sleep(kPeerLead, yield);
    if (this->end < peer_end) {
      LogWarning("topic_behind_peers", {{"topic", ToString(this->topic)},
                                        {"end", this->end},
                                        {"peer_end", peer_end}});
      this->CatchUp(yield);
    }
    this->catching_up = false;
  });
}

bool TopicFollower::CatchUp(Coroutine yield) {
  return this->records_expired ? this->ReadNewest(yield)
                               : this->ReadMore(Duration{0}, yield);
}

}  // namespace kumquatcart
