// Follows one topic of the store.
#ifndef CONTROL_TOPIC_FOLLOWER_H_
#define CONTROL_TOPIC_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "platform/store_client.h"

namespace kumquatcart {

// Hands on every change of the topic's keys, in order, each once. For the event
// loop's thread.
class TopicFollower {
 public:
  // A record without a value tells that its key was dropped.
  using Apply = std::function<void(const TopicRecord&)>;

  TopicFollower(EventLoop* loop,
                StoreClient* store,
                StoreTopic topic,
                Duration batch_pause,
                Apply apply)
      : loop(loop),
        store(store),
        topic(topic),
        batch_pause(batch_pause),
        apply(std::move(apply)) {}

  // Starts to follow, until the process ends.
  void Start();

  // Whether the topic was read once.
  bool IsSynced() const { return this->synced; }

  // The first offset not seen yet.
  std::int64_t End() const { return this->end; }

  // A peer has seen the topic up to `peer_end`: reads again on another
  // connection if the waiting read does not bring it soon, as happens when its
  // connection went silent.
  void NotePeerEnd(std::int64_t peer_end);

  // Reads what there is, without waiting for more. False when it fails.
  bool CatchUp(Coroutine yield);

 private:
  bool ReadNewest(Coroutine yield);
  bool ReadMore(Duration wait, Coroutine yield);
  void TakeSnapshot(const TopicBatch& batch);
  void Take(const TopicRecord& record);

  EventLoop* const loop;
  StoreClient* const store;
  const StoreTopic topic;
  // After a change, so that changes that come together cost one read.
  const Duration batch_pause;
  const Apply apply;
  bool synced = false;
  bool records_expired = false;
  bool catching_up = false;
  std::int64_t end = 0;
  std::map<std::string, std::int64_t> offsets;  // Newest record of each key.
};

}  // namespace kumquatcart

#endif  // CONTROL_TOPIC_FOLLOWER_H_
