// A follower of the servers' topic beside a store and a scripted peer.
#ifndef ENTRY_FOLLOWER_FIXTURE_H_
#define ENTRY_FOLLOWER_FIXTURE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/topic_follower.h"
#include "fakes/loop_server.h"
#include "fakes/loop_store.h"

namespace kumquatcart {

inline constexpr char kTopic[] = "keyed.servers";

// A follower of the servers topic that records what it applies.
struct FollowerFixture {
  FollowerFixture()
      : store(&this->loop),
        client(&this->loop, this->store.Address()),
        peers("b", "zone"),
        role(&this->loop, &this->peers, &this->client, "zone"),
        follower(
            &this->loop,
            &this->client,
            FollowerSettings{
                StoreTopic::kServers, 2, std::chrono::milliseconds(500),
                std::chrono::milliseconds(1), std::chrono::milliseconds(1)},
            &this->role,
            [this](const TcpEndpoint&, TopicPosition from, Coroutine) {
              ++this->fetches;
              this->fetched_from = from.offset;
              return this->peer_error ? Result<TopicBatch>(*this->peer_error)
                                      : Result<TopicBatch>(this->peer_batch);
            },
            [this](const TopicRecord& record) {
              this->applied.push_back(record);
              this->values[record.key] = record.value.value_or("(dropped)");
            }) {}

  ~FollowerFixture() { this->loop.UnwindCoroutines(); }

  // Accepts digests of two preceding nodes, so that this one does not read the
  // store.
  void BecomeNonReader() {
    for (const char* node : {"a", "a2"}) {
      this->peers.PutPeer(node, "zone", Endpoint{"127.0.0.1", 1});
      NodeDigest digest;
      digest.node = node;
      digest.interval_ms = 10'000;
      this->peers.AcceptDigest(digest, this->loop.Now());
    }
  }

  // Reports a peer that is ahead until the follower has reached `end`.
  void ReportPeerUntilEnd(std::int64_t end) {
    this->RunUntil([this, end] {
      this->follower.HandlePeerEnd(TcpEndpoint(), {0, end}, this->is_near);
      return this->follower.End() >= end;
    });
  }

  // Runs the loop for `time`.
  void RunFor(Duration time) {
    this->RunUntil([this, end = this->loop.Now() + time] {
      return this->loop.Now() >= end;
    });
  }

  // Runs the loop until `done` returns true, for two seconds at most.
  void RunUntil(const std::function<bool()>& done) {
    RunCoroutine(&this->loop, [&](Coroutine yield) {
      const MonotonicTime deadline = this->loop.Now() + std::chrono::seconds(2);
      while (!done() && this->loop.Now() < deadline) {
        this->loop.Sleep(std::chrono::milliseconds(1), yield);
      }
    });
  }

  EventLoop loop;
  LoopStore store;
  StoreClient client;
  PeerDirectory peers;
  PlannerRole role;
  TopicBatch peer_batch;
  std::optional<Error> peer_error;
  int fetches = 0;
  std::int64_t fetched_from = -1;
  bool is_near = true;  // Whether the reported peer is in this failure domain.
  std::vector<TopicRecord> applied;
  std::map<std::string, std::string> values;
  TopicFollower follower;
};

}  // namespace kumquatcart

#endif  // ENTRY_FOLLOWER_FIXTURE_H_
