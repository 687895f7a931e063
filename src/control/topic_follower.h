// Follows one topic of the store.
#ifndef CONTROL_TOPIC_FOLLOWER_H_
#define CONTROL_TOPIC_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "control/planner_role.h"
#include "platform/store_client.h"

namespace kumquatcart {

// How one topic is followed.
struct FollowerSettings {
  StoreTopic topic = StoreTopic::kOperator;
  // Entry VMs of each failure domain that read it: one may be refused by the
  // store, or stand still, without the others noticing at once.
  int readers = 1;
  // How long a read waits for the next record. Each read is a call; but a
  // connection that fell silent, and a store that refuses this VM, are known
  // only after this.
  Duration read_wait{0};
  // After a change, so that changes that come together cost one read.
  Duration batch_pause{0};
  // The same for readers other than the planner, which stand by.
  Duration standby_pause{0};
};

// Hands on every change of the topic's keys, in order, each once. For the event
// loop's thread.
class TopicFollower {
 public:
  // A record without a value tells that its key was dropped.
  using Apply = std::function<void(const TopicRecord&)>;
  // Asks a peer for the topic's records from an offset on.
  using FetchFromPeer =
      std::function<Result<TopicBatch>(const TcpEndpoint& peer,
                                       std::int64_t from,
                                       Coroutine yield)>;

  TopicFollower(EventLoop* loop,
                StoreClient* store,
                FollowerSettings settings,
                const PlannerRole* role,
                FetchFromPeer fetch,
                Apply apply)
      : loop(loop),
        store(store),
        settings(settings),
        role(role),
        fetch(std::move(fetch)),
        apply(std::move(apply)) {}

  // Starts to follow, until the process ends.
  void Start();

  // Whether the topic was read once.
  bool IsSynced() const { return this->synced; }

  // The first offset not seen yet.
  std::int64_t End() const { return this->end; }

  // A peer has seen the topic up to `peer_end`. A process that does not read
  // the store asks that peer for the records; one that does, only if its
  // waiting read does not bring them soon, as happens when its connection went
  // silent.
  void NotePeerEnd(const TcpEndpoint& peer, std::int64_t peer_end);

  // The newest records from offset `from` on, for a peer.
  TopicBatch RecordsSince(std::int64_t from) const;

  // Reads what there is, without waiting for more. False when it fails.
  bool CatchUp(Coroutine yield);

 private:
  bool ReadsStore() const;
  bool ReadNewest(Coroutine yield);
  bool ReadMore(Duration wait, Coroutine yield);
  void TakeSnapshot(const TopicBatch& batch);
  void TakeRecords(const TopicBatch& batch);
  void Take(const TopicRecord& record);

  EventLoop* const loop;
  StoreClient* const store;
  const FollowerSettings settings;
  const PlannerRole* const role;
  const FetchFromPeer fetch;
  const Apply apply;
  bool synced = false;
  bool records_expired = false;
  bool catching_up = false;
  std::int64_t end = 0;
  std::map<std::string, TopicRecord> newest;  // By key, dropped ones too.
};

}  // namespace kumquatcart

#endif  // CONTROL_TOPIC_FOLLOWER_H_
