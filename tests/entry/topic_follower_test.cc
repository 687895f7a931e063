#include "control/topic_follower.h"

#include <catch2/catch.hpp>

#include "entry/follower_fixture.h"

namespace kumquatcart {
namespace {

TEST_CASE("A follower applies the newest of each key, then every change") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  f.store.Put(kTopic, "a", "2");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  CHECK(f.values == std::map<std::string, std::string>{{"a", "2"}});
  f.store.Put(kTopic, "b", "1");
  f.store.Put(kTopic, "a", "");
  f.RunUntil([&] { return f.applied.size() == 3; });
  CHECK(f.values ==
        std::map<std::string, std::string>{{"a", "(dropped)"}, {"b", "1"}});
  CHECK(f.follower.End() == 4);
}

TEST_CASE("Keys removed by expired records are dropped") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  f.store.Put(kTopic, "b", "1");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  f.store.refusal = 503;
  f.store.Put(kTopic, "a", "");
  f.store.Put(kTopic, "c", "1");
  f.store.Expire(kTopic);
  f.store.refusal = std::nullopt;
  f.RunUntil([&] { return f.values.count("c") > 0; });
  CHECK(f.values["a"] == "(dropped)");
  CHECK(f.values["b"] == "1");
}

TEST_CASE(
    "A process that is not the planner fetches from a peer that is ahead") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  f.BecomeNonReader();
  CHECK(!f.role.ReadsStore(2));
  const int calls = f.store.calls;
  f.peer_batch.end = 3;
  f.peer_batch.records = {{"b", "1", 1}, {"a", std::nullopt, 2}};
  f.follower.HandlePeerEnd(TcpEndpoint(), {0, 3}, true);
  f.RunUntil([&] { return f.follower.End() == 3; });
  CHECK(f.fetched_from == 1);
  CHECK(f.values["a"] == "(dropped)");
  CHECK(f.values["b"] == "1");
  CHECK(f.store.calls <= calls + 1);  // A read may have been in progress.
  // Nothing is fetched from a peer that is not ahead.
  f.follower.HandlePeerEnd(TcpEndpoint(), {0, 3}, true);
  CHECK(f.fetches == 1);
}

// Guards against a peer with an overloaded link or processor that delays the
// records.
TEST_CASE("Records that a peer does not return are read from the store") {
  for (const ErrorCode code :
       {ErrorCode::kExhausted, ErrorCode::kUnavailable}) {
    for (const bool expired : {false, true}) {
      FollowerFixture f;
      f.store.Put(kTopic, "a", "1");
      f.follower.Start();
      f.RunUntil([&] { return f.follower.IsSynced(); });
      f.BecomeNonReader();
      f.store.Put(kTopic, "b", "1");
      if (expired) {
        f.store.Expire(kTopic);
        f.store.Put(kTopic, "c", "1");
      }
      f.peer_error = MakeError(code, "overloaded");
      f.ReportPeerUntilEnd(2);
      CHECK(f.values["b"] == "1");
    }
  }
}

// Guards against waiting for the store in an outage while peers have the
// records.
TEST_CASE(
    "Peers are asked without a read of an unreachable store before each") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  f.BecomeNonReader();
  const int before = f.store.calls;
  f.store.refusal = 503;
  f.peer_error = MakeError(ErrorCode::kExhausted, "overloaded");
  f.RunUntil([&] {
    f.follower.HandlePeerEnd(TcpEndpoint(), {0, 2}, true);
    return f.fetches >= 10;
  });
  CHECK(f.fetches >= 10);
  CHECK(f.store.calls <= before + 2);  // A read may have been in progress.
  const int calls = f.store.calls;
  f.peer_error = std::nullopt;
  f.peer_batch = TopicBatch{{{"b", "1", 1}}, 2};
  f.ReportPeerUntilEnd(2);
  CHECK(f.values["b"] == "1");
  CHECK(f.store.calls == calls);
}

// Guards against a herd: all VMs that fall behind at once and are rejected by
// the few peers that are ahead read the store at the same time.
TEST_CASE("The store is not read as soon as a peer rejects a request") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  f.BecomeNonReader();
  f.RunUntil([&, stop = f.loop.Now() + std::chrono::milliseconds(600)] {
    return f.loop.Now() > stop;  // A read in progress ends.
  });
  f.store.Put(kTopic, "b", "1");
  const int calls = f.store.calls;
  f.peer_error = MakeError(ErrorCode::kExhausted, "overloaded");
  f.RunUntil([&] {
    f.follower.HandlePeerEnd(TcpEndpoint(), {0, 2}, true);
    return f.fetches >= 5;
  });
  CHECK(f.fetches >= 5);
  CHECK(f.store.calls == calls);
}

// Guards against records that pass between failure domains once for each VM.
TEST_CASE("Peers of other failure domains are asked after the near ones") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  f.BecomeNonReader();
  f.peer_batch = TopicBatch{{{"b", "1", 1}}, 2};
  f.follower.HandlePeerEnd(TcpEndpoint(), {0, 2}, false);
  f.RunUntil([&, stop = f.loop.Now() + std::chrono::milliseconds(50)] {
    return f.loop.Now() > stop;
  });
  CHECK(f.fetches == 0);
  f.is_near = false;
  f.ReportPeerUntilEnd(2);
  CHECK(f.fetches == 1);
  f.peer_batch = TopicBatch{{{"c", "1", 2}}, 3};
  f.is_near = true;
  f.ReportPeerUntilEnd(3);
  CHECK(f.fetches == 2);
}

// Guards against a herd at the store when all VMs start: none has received a
// digest, so each took itself for the only one.
TEST_CASE("A started VM leaves the store to the announced nodes before it") {
  FollowerFixture f;
  CHECK(f.role.ReadsStore(2));
  f.peers.PutPeer("a", "zone", Endpoint{"127.0.0.1", 1});
  CHECK(f.role.ReadsStore(2));
  f.peers.PutPeer("a2", "zone", Endpoint{"127.0.0.1", 1});
  f.peers.PutPeer("c", "zone", Endpoint{"127.0.0.1", 1});
  CHECK(!f.role.ReadsStore(2));
  CHECK(f.role.ReadsStore(3));
  // Announced nodes that send no digest are gone.
  f.RunUntil([] { return false; });
  CHECK(f.role.ReadsStore(2));
}

// Guards against a store that serves the first reads of hundreds of VMs one
// after the other once all of them were lost: none is answered before it is
// given up.
TEST_CASE("A started VM gets its first records from a peer") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  f.BecomeNonReader();
  f.peer_batch = TopicBatch{{{"a", "1", 0}}, 1};
  f.follower.Start();
  f.RunUntil([&, stop = f.loop.Now() + std::chrono::milliseconds(500)] {
    return f.loop.Now() > stop;
  });
  CHECK(!f.follower.IsSynced());
  f.ReportPeerUntilEnd(1);
  CHECK(f.follower.IsSynced());
  CHECK(f.fetched_from == 0);
  CHECK(f.values["a"] == "1");
  CHECK(f.store.calls == 0);
}

TEST_CASE("A started VM reads the store if peers report no records") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  f.BecomeNonReader();
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  CHECK(f.values["a"] == "1");
  CHECK(f.fetches == 0);
}

TEST_CASE(
    "A started VM reads the store if peers go on rejecting its requests") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  f.BecomeNonReader();
  f.peer_error = MakeError(ErrorCode::kExhausted, "overloaded");
  f.follower.Start();
  f.ReportPeerUntilEnd(1);
  CHECK(!f.follower.IsSynced());
  CHECK(f.store.calls == 0);
  f.ReportPeerUntilEnd(1);
  CHECK(f.follower.IsSynced());
  CHECK(f.values["a"] == "1");
}

TEST_CASE("Records sent to peers include removals") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  f.store.Put(kTopic, "b", "1");
  f.store.Put(kTopic, "c", "1");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  f.store.Put(kTopic, "b", "");
  f.RunUntil([&] { return f.follower.End() == 4; });
  const TopicBatch batch = f.follower.RecordsSince({0, 2});
  CHECK(batch.end == 4);
  CHECK(batch.records ==
        std::vector<TopicRecord>{{"c", "1", 2}, {"b", std::nullopt, 3}});
}

// Guards against requests to a server that was removed: a process that had just
// started answered for the time before its start, of which it knows only what
// was left.
TEST_CASE("A removal from before the start of a peer is not missed") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  f.store.Put(kTopic, "b", "1");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  f.BecomeNonReader();

  FollowerFixture peer;
  peer.store.Put(kTopic, "a", "1");
  peer.store.Put(kTopic, "b", "1");
  peer.store.Put(kTopic, "a", "");
  peer.store.Put(kTopic, "c", "1");
  peer.follower.Start();
  peer.RunUntil([&] { return peer.follower.IsSynced(); });

  f.peer_batch = peer.follower.RecordsSince(f.follower.Position());
  f.ReportPeerUntilEnd(4);
  CHECK(f.values == std::map<std::string, std::string>{
                        {"a", "(dropped)"}, {"b", "1"}, {"c", "1"}});
}

// Guards against a VM that says it is ready without servers: a peer that starts
// again between its digest and the question has fewer records than it reported.
TEST_CASE("A VM is not synced by a peer that lacks what it reported") {
  for (const std::int64_t peer_end : {0, 1}) {
    CAPTURE(peer_end);
    FollowerFixture f;
    f.store.Put(kTopic, "a", "1");
    f.store.Put(kTopic, "b", "1");
    f.BecomeNonReader();
    f.peer_batch.end = peer_end;
    if (peer_end > 0) {
      f.peer_batch.records = {{"a", "1", 0}};
    }
    f.follower.Start();
    f.follower.HandlePeerEnd(TcpEndpoint(), {0, 2}, true);
    f.RunUntil([&, stop = f.loop.Now() + std::chrono::milliseconds(100)] {
      return f.loop.Now() > stop;
    });
    CHECK(f.fetches == 1);
    CHECK(!f.follower.IsSynced());
    f.RunUntil([&] { return f.follower.IsSynced(); });
    f.RunUntil([&] { return f.follower.IsSynced(); });
    CHECK(f.follower.IsSynced());
    CHECK(f.values ==
          std::map<std::string, std::string>{{"a", "1"}, {"b", "1"}});
  }
}

// Guards against records that are never read while peers that start again and
// again report them.
TEST_CASE("Records that a peer lacks are read from the store") {
  FollowerFixture f;
  f.store.Put(kTopic, "a", "1");
  f.follower.Start();
  f.RunUntil([&] { return f.follower.IsSynced(); });
  f.BecomeNonReader();
  f.RunUntil([&, stop = f.loop.Now() + std::chrono::milliseconds(600)] {
    return f.loop.Now() > stop;  // A read in progress ends.
  });
  f.store.Put(kTopic, "b", "1");
  f.ReportPeerUntilEnd(2);
  CHECK(f.values["b"] == "1");
}

TEST_CASE(
    "A failed append condition is a conflict, a refused append is "
    "unavailable") {
  FollowerFixture f;
  RunCoroutine(&f.loop, [&](Coroutine yield) {
    CHECK(f.client.Append(StoreTopic::kGroups, "g", "1", 0, yield).value() ==
          0);
    CHECK(
        f.client.Append(StoreTopic::kGroups, "g", "2", 0, yield).error().code ==
        ErrorCode::kConflict);
    f.store.refusal = 503;
    CHECK(
        f.client.Append(StoreTopic::kGroups, "g", "2", 1, yield).error().code ==
        ErrorCode::kUnavailable);
    CHECK(!f.client.IsReachable());
    f.store.refusal = std::nullopt;
    CHECK(f.client.Append(StoreTopic::kGroups, "g", "2", 1, yield).has_value());
    CHECK(f.client.IsReachable());
  });
}

}  // namespace
}  // namespace kumquatcart
