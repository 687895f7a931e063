// Replicates one topic of the store.
#ifndef CONTROL_TOPIC_FOLLOWER_H_
#define CONTROL_TOPIC_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "base/log_limiter.h"
#include "base/progress_pacer.h"
#include "control/planner_role.h"
#include "control/topic_replica.h"
#include "platform/store_client.h"

namespace kumquatcart {

// Parameters of a topic follower.
struct FollowerSettings {
  StoreTopic topic = StoreTopic::kOperator;
  // Number of entry VMs per failure domain that read the topic from the store.
  // With more than one, reads continue while one of them is rejected by the
  // store or stalled and the others have not detected it yet.
  int readers = 1;
  // Long-poll time of a read. A longer time needs fewer calls, but a dead
  // connection or a rejection by the store is detected only after it.
  Duration read_wait{0};
  // Pause after a change, so that one read returns several changes.
  Duration batch_pause{0};
  // The same for readers other than the planner.
  Duration standby_pause{0};
};

// Reports each change of the topic's keys once and in order. Use only on the
// event loop's thread.
class TopicFollower {
 public:
  // Number of peers whose retained records are requested in each era.
  static constexpr std::size_t kRetainedRequests = 3;

  using Apply = TopicReplica::Apply;
  // Requests the topic's records from offset `from` on from a peer.
  using FetchFromPeer =
      std::function<Result<TopicBatch>(const TcpEndpoint& peer,
                                       TopicPosition from,
                                       Coroutine yield)>;

  TopicFollower(EventLoop* loop,
                StoreClient* store,
                FollowerSettings settings,
                const PlannerRole* role,
                FetchFromPeer fetch,
                Apply apply,
                ContentRules rules = {});

  // Starts following the topic until the process ends.
  void Start();

  // Whether the topic has been read completely at least once.
  bool IsSynced() const { return this->synced; }

  // The offset after the last one seen.
  std::int64_t End() const { return this->replica.End(); }
  // The same with its era.
  TopicPosition Position() const { return this->replica.Position(); }

  // Whether the topic has been read completely in the store's present era.
  bool IsCurrent() const {
    return this->synced && this->replica.Position().era == this->store->Era();
  }

  // The store's newest record of `key`, or its removal. Null: there is none.
  const TopicRecord* Find(const std::string& key) const {
    return this->replica.Find(key);
  }

  // See TopicReplica.
  void DropRetainedRemoval(const std::string& key) {
    this->replica.DropRetainedRemoval(key);
  }

  // What is newer by its content than the store's records, by key.
  const std::map<std::string, RetainedRecord>& Retained() const {
    return this->replica.Retained();
  }

  // When the store or a peer last answered a read of the topic, whether or not
  // there was anything new; zero: never.
  MonotonicTime LastReadAt() const { return this->last_read_at; }

  // Handles a peer's report that it has seen the topic up to `peer_end`. If
  // this process does not read the store, it requests the missing records from
  // the peer. Peers of other failure domains, and the store, are asked only if
  // the peers of the own one do not return the records soon. A process that
  // reads the store requests them only if its pending read does not return them
  // soon, for example because the connection is dead. `is_near`: whether the
  // peer is in the same failure domain.
  void HandlePeerEnd(const TcpEndpoint& peer,
                     TopicPosition peer_end,
                     bool is_near);

  // Requests the records that a peer retains since the store has lost them.
  // Some peers are asked in each era, once each, after the topic was read in
  // it.
  void HandlePeerRetained(const TcpEndpoint& peer, StoreEra peer_era);
  // Whether the peer was asked in the present era, or need not be.
  bool HasAskedForRetained(const TcpEndpoint& peer) const {
    return this->retained_peers.count(peer) > 0 ||
           this->retained_peers.size() == kRetainedRequests;
  }
  // Whether such a request is in progress.
  bool IsFetchingRetained() const { return this->fetches_retained; }

  // Returns the newest record of each key from `from` on, for a peer; see
  // TopicReplica.
  TopicBatch RecordsSince(TopicPosition from) const {
    return this->replica.RecordsSince(from);
  }

  // Reads the available records without waiting for more. Returns false on
  // failure.
  bool CatchUp(Coroutine yield);

 private:
  bool ReadsStore() const;
  // Whether the first records should come from a peer rather than the store.
  bool ExpectsFirstRecords(bool is_reader) const;
  // Whether the records that follow the last one are not in the store, so that
  // the newest of each key must be read.
  bool NeedsNewest() const;
  void SetSynced(const char* source);
  // Merges what a read has returned that had failed already.
  void TakeLate(const TopicBatch& batch);
  bool ReadNewest(Coroutine yield);
  bool ReadMore(Duration wait, Coroutine yield);
  bool CatchUp(Duration wait, Coroutine yield);
  // Requests the records from `end` on from a peer that has reported them up to
  // `peer_end`; one that has started again since may lack them. Returns whether
  // the store need not be asked: on success, and while other peers may still
  // return them.
  bool FetchMore(const TcpEndpoint& peer,
                 TopicPosition peer_end,
                 Coroutine yield);
  // Reads records that are known to exist, unless the store has just failed.
  void ReadMissing(Coroutine yield);
  // Whether this process, which does not read the store, may request records
  // now.
  bool MayFetch(bool is_near) const;
  // Calls `read`. A failure to handle the response fails the read.
  Result<TopicBatch> TryRead(const std::function<Result<TopicBatch>()>& read);
  void Merge(const TopicBatch& batch);

  EventLoop* const loop;
  StoreClient* const store;
  const FollowerSettings settings;
  const PlannerRole* const role;
  const FetchFromPeer fetch;
  TopicReplica replica;
  bool synced = false;
  MonotonicTime started_at;  // Zero: not started.
  MonotonicTime last_read_at;
  bool records_expired = false;
  bool catching_up = false;
  MonotonicTime behind_since;  // Zero: as far as known, not.
  MonotonicTime next_fetch_at;
  MonotonicTime missing_read_at;  // Last attempt of ReadMissing.
  // Pause between attempts that bring nothing.
  Duration missing_read_pause{0};
  ProgressPacer reads;
  ProgressPacer missing_reads;
  LogLimiter expired_log;
  StoreEra retained_era = -1;  // Of the retained records requested last.
  bool fetches_retained = false;
  std::set<TcpEndpoint> retained_peers;  // That have answered in that era.
  MonotonicTime next_retained_at;
};

}  // namespace kumquatcart

#endif  // CONTROL_TOPIC_FOLLOWER_H_
