#include "peers/node_digest.h"

#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "base/json.h"
#include "peers/peer_directory.h"
#include "peers/permit_message.h"
#include "peers/record_exchange.h"
#include "peers/slot_message.h"

namespace kumquatcart {
namespace {

const MonotonicTime kStart{std::chrono::seconds(100)};

TEST_CASE("An encoded digest decodes to the same digest") {
  NodeDigest digest;
  digest.node = "n1";
  digest.failure_domain = "a";
  digest.interval_ms = 150;
  digest.is_stopping = true;
  digest.config_version = 9;
  digest.topic_ends = {1, 2, 3, 4};
  digest.in_flight = {{"s", 3}};
  digest.unread = {{"s", 1420}};
  digest.unreachable = {"t"};
  digest.suspected_servers = {"u", "v"};
  digest.groups = {{"g", 7, true}};
  digest.limits = {{"s", 3, 2.75}, {"t", 4, std::nullopt}};
  digest.domain_loads = {{"a", 0, {{"s", 9}}, {{"s", 2840}}},
                         {"b", 140, {{"t", 1}}, {}}};
  digest.cluster_load = ClusterLoadReport{{{"s", 9}, {"t", 1}}, {{"s", 2840}}};
  const Result<NodeDigest> decoded = DecodeDigest(EncodeDigest(digest));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value() == digest);
}

TEST_CASE("A digest states the era of its ends") {
  NodeDigest digest;
  digest.node = "n1";
  digest.topic_ends = {1, -1, 3, 4};
  digest.store_era = 7;
  digest.retained_records = {1, 0, 2, 0};
  CHECK(DecodeDigest(EncodeDigest(digest)).value() == digest);
  digest.limits = {{"s", 3, 2.75}};
  digest.domain_loads = {{"a", 0, {{"s", 9}}, {}}};
  CHECK(DecodeDigest(EncodeDigest(digest)).value() == digest);
  // Nodes of earlier versions find all other fields at their places, and the
  // ends first.
  const Json encoded = ParseCbor(EncodeDigest(digest)).value();
  CHECK(encoded.at(8) == Json{1, -1, 3, 4, 7, 1, 0, 2, 0});
  NodeDigest without = digest;
  without.store_era = 0;
  CHECK(encoded.size() == ParseCbor(EncodeDigest(without)).value().size());
  digest.store_era = -7;
  // Not sent, as by nodes of earlier versions.
  CHECK(DecodeDigest(EncodeDigest(digest)).value().store_era == 0);
}

// Guards against VMs that ignore each other during an update of the version.
TEST_CASE("A digest of a node that shares no limits is accepted") {
  NodeDigest digest;
  digest.node = "n1";
  const Result<NodeDigest> decoded = DecodeDigest(EncodeDigest(digest));
  REQUIRE(decoded.has_value());
  CHECK_FALSE(decoded.value().limits.has_value());
  CHECK(decoded.value().domain_loads.empty());
  // The sums do not take the place of the limits.
  digest.domain_loads = {{"a", 0, {{"s", 9}}, {}}};
  CHECK(DecodeDigest(EncodeDigest(digest)).value() == digest);
  digest.domain_loads.clear();
  digest.cluster_load = ClusterLoadReport{{{"s", 9}}, {}};
  CHECK(DecodeDigest(EncodeDigest(digest)).value() == digest);
}

TEST_CASE("Any datagram is decoded or rejected") {
  CHECK(rc::check([](const std::string& bytes) {
    const Result<NodeDigest> digest = DecodeDigest(bytes);
    if (digest.has_error()) {
      RC_ASSERT(!digest.error().message.empty());
    } else {
      RC_ASSERT(DecodeDigest(EncodeDigest(digest.value())).value() ==
                digest.value());
    }
  }));
}

NodeDigest DigestOf(const std::string& node) {
  NodeDigest digest;
  digest.node = node;
  return digest;
}

PeerDirectory MakeDirectory() {
  PeerDirectory directory("b", "zone1");
  directory.PutPeer("a", "zone1", Endpoint{"10.0.0.1", 1});
  directory.PutPeer("c", "zone2", Endpoint{"10.0.0.2", 1});
  return directory;
}

TEST_CASE("The first live node of a failure domain plans it") {
  PeerDirectory directory = MakeDirectory();
  CHECK(directory.IsPlannerFor("zone1", true, false, kStart));
  directory.AcceptDigest(DigestOf("a"), kStart);
  CHECK(!directory.IsPlannerFor("zone1", true, false, kStart));
  CHECK(directory.IsPlannerFor("zone1", true, false,
                               kStart + std::chrono::seconds(2)));
}

TEST_CASE("A failure domain without live nodes is planned by another") {
  PeerDirectory directory = MakeDirectory();
  CHECK(directory.IsPlannerFor("zone2", true, false, kStart));
  directory.AcceptDigest(DigestOf("c"), kStart);
  CHECK(!directory.IsPlannerFor("zone2", true, false, kStart));
}

TEST_CASE("A node that stops or cannot write plans nothing") {
  PeerDirectory directory = MakeDirectory();
  CHECK(!directory.IsPlannerFor("zone1", false, false, kStart));
  CHECK(!directory.IsPlannerFor("zone1", true, true, kStart));
  NodeDigest disconnected = DigestOf("a");
  disconnected.reaches_store = false;
  directory.AcceptDigest(disconnected, kStart);
  CHECK(directory.IsPlannerFor("zone1", true, false, kStart));
}

TEST_CASE("The planner is the first that can write to the store") {
  PeerDirectory directory = MakeDirectory();
  CHECK(directory.FindPlanner("zone1", kStart) == nullptr);
  directory.AcceptDigest(DigestOf("c"), kStart);
  CHECK(directory.FindPlanner("zone1", kStart)->digest.node == "c");
  directory.AcceptDigest(DigestOf("a"), kStart);
  CHECK(directory.FindPlanner("zone1", kStart)->digest.node == "a");
  CHECK(directory.FindPlanner("zone2", kStart)->digest.node == "c");
}

// Guards against duties that use up the processor time of the smallest VMs.
TEST_CASE("Duties go to the VMs with the most processor time") {
  PeerDirectory directory("b", "zone1", 0.12);
  directory.PutPeer("a", "zone1", Endpoint{"10.0.0.1", 1}, 0.12);
  directory.PutPeer("x", "zone1", Endpoint{"10.0.0.1", 1}, 0.5);
  directory.PutPeer("y", "zone1", Endpoint{"10.0.0.1", 1}, 0.5);
  directory.PutPeer("c", "zone2", Endpoint{"10.0.0.2", 1}, 0.25);
  CHECK(directory.CountPrecedingNodes(kStart) == 0);
  CHECK(directory.CountPrecedingNodes(kStart, true) == 3);
  CHECK(directory.PrecedesAll(kStart));
  for (const char* node : {"a", "x", "y", "c"}) {
    directory.AcceptDigest(DigestOf(node), kStart);
  }
  CHECK(directory.FindPlanner("zone1", kStart)->digest.node == "x");
  CHECK(directory.FindPlanner("zone3", kStart)->digest.node == "x");
  CHECK(directory.CountPrecedingNodes(kStart) == 3);
  CHECK(!directory.PrecedesAll(kStart));
  CHECK(directory.FindFirstPeers(2, kStart) ==
        std::set<std::string>{"x", "y", "c"});
  NodeDigest stopping = DigestOf("x");
  stopping.is_stopping = true;
  directory.AcceptDigest(stopping, kStart);
  CHECK(directory.FindFirstPeers(2, kStart) ==
        std::set<std::string>{"y", "a", "c"});
}

TEST_CASE("An encoded record batch decodes to the same batch") {
  TopicBatch batch;
  batch.end = 9;
  batch.records = {{"k", std::string("v\0\xff", 3), 7}, {"gone", {}, 8}};
  const Result<TopicBatch> decoded = DecodeTopicBatch(EncodeTopicBatch(batch));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value() == batch);
  for (const std::vector<std::string>& keys :
       {std::vector<std::string>{}, {"a", std::string("b\0\xff", 3)}}) {
    batch.other_keys = keys;
    CHECK(DecodeTopicBatch(EncodeTopicBatch(batch)).value() == batch);
  }
  batch.era = 3;
  batch.retained = {{"a", std::string("\0\xff", 2), true}, {"b", "", false}};
  CHECK(DecodeTopicBatch(EncodeTopicBatch(batch)).value() == batch);
  batch.era = -3;
  CHECK(DecodeTopicBatch(EncodeTopicBatch(batch)).has_error());
  // From a version that knows no eras: an end, no records, no keys.
  CHECK(DecodeTopicBatch("\x83\x01\x80\xf6").value() == TopicBatch{{}, 1});
  CHECK(DecodeTopicBatch("x").has_error());
  // From a version that does not say whether removals are missing.
  CHECK(DecodeTopicBatch("\x82\x01\x80").has_error());
}

TEST_CASE("Only well-formed record queries are decoded") {
  for (const TopicPosition& from :
       {TopicPosition{0, 41}, TopicPosition{7, 41}, kRetainedOnly}) {
    const RecordQuery query{StoreTopic::kGroups, from};
    CHECK(DecodeRecordQuery(EncodeRecordQuery(query)) == query);
  }
  // Of a node of an earlier version.
  CHECK(DecodeRecordQuery("/peer/records/2/41") ==
        RecordQuery{StoreTopic::kGroups, {0, 41}});
  CHECK(!DecodeRecordQuery("/peer/records/2/41/-1"));
  CHECK(!DecodeRecordQuery("/peer/records/2/41/7/retained"));
  CHECK(!DecodeRecordQuery("/peer/records/9/1"));
  CHECK(!DecodeRecordQuery("/peer/records/1"));
  CHECK(!DecodeRecordQuery("/peer/records/1/2/x"));
  CHECK(!DecodeRecordQuery("/peer/records/-1/2"));
  CHECK(!DecodeRecordQuery("/api/log-read"));
}

TEST_CASE("A peer with a long digest interval is not considered dead") {
  // The interval with 89 nodes, each of which sends to 88 peers.
  PeerDirectory directory = MakeDirectory();
  NodeDigest infrequent = DigestOf("a");
  infrequent.interval_ms = 1350;
  directory.AcceptDigest(infrequent, kStart);
  const MonotonicTime next = kStart + std::chrono::milliseconds(1350);
  CHECK(directory.CountLiveNodes(next) == 2);
  CHECK(directory.CountPrecedingNodes(next) == 1);
  CHECK(!directory.IsPlannerFor("zone1", true, false, next));
  CHECK(directory.IsPlannerFor("zone1", true, false,
                               kStart + std::chrono::milliseconds(4200)));
}

TEST_CASE("A silent planner is replaced within a second") {
  PeerDirectory directory = MakeDirectory();
  NodeDigest frequent = DigestOf("a");
  frequent.interval_ms = 300;
  directory.AcceptDigest(frequent, kStart);
  CHECK(!directory.IsPlannerFor("zone1", true, false,
                                kStart + std::chrono::milliseconds(800)));
  CHECK(directory.IsPlannerFor("zone1", true, false,
                               kStart + std::chrono::milliseconds(1000)));
}

TEST_CASE("A store that refuses a few nodes is not down") {
  PeerDirectory directory("b", "zone1");
  const auto put_peer_digest = [&directory](const std::string& node,
                                            const std::string& domain,
                                            bool reaches) {
    directory.PutPeer(node, domain, Endpoint{"10.0.0.1", 1});
    NodeDigest digest = DigestOf(node);
    digest.reaches_store = reaches;
    directory.AcceptDigest(digest, kStart);
  };
  put_peer_digest("a", "zone1", true);
  put_peer_digest("c", "zone2", true);
  put_peer_digest("d", "zone2", false);
  put_peer_digest("e", "zone3", true);
  CHECK(!directory.IsStoreDown(false, kStart));
  put_peer_digest("c", "zone2", false);
  put_peer_digest("e", "zone3", false);
  CHECK(directory.IsStoreDown(false, kStart));
  // Nodes that do not read the store are not counted.
  for (const char* node : {"x", "y", "z"}) {
    put_peer_digest(node, "zone2", true);
  }
  CHECK(directory.IsStoreDown(false, kStart));
}

// Guards against all VMs that the store refuses passing their calls through the
// same peer, whose link cannot carry them.
TEST_CASE("Every node passes store calls through a different peer first") {
  constexpr int kNodes = 50;
  std::set<int> first_ports;
  for (int own = 0; own < kNodes; ++own) {
    PeerDirectory directory("n" + std::to_string(own), "zone1");
    for (int peer = 0; peer < kNodes; ++peer) {
      directory.PutPeer("n" + std::to_string(peer), "zone1",
                        Endpoint{"10.0.0.1", static_cast<std::uint16_t>(peer)});
    }
    const std::vector<Endpoint> relays = directory.EndpointsFromSuccessor();
    REQUIRE(relays.size() == kNodes - 1);
    first_ports.insert(relays.front().port);
  }
  CHECK(first_ports.size() == kNodes);
}

// Guards against calls that hang at a peer that is gone or does not reach the
// store itself.
TEST_CASE("Store calls pass through live peers that reach the store") {
  PeerDirectory directory("n", "zone");
  const MonotonicTime now = kStart + std::chrono::seconds(10);
  const auto add = [&](const std::string& node, std::uint16_t port,
                       bool reaches_store, MonotonicTime digest_at) {
    directory.PutPeer(node, "zone", Endpoint{"10.0.0.1", port});
    NodeDigest digest = DigestOf(node);
    digest.reaches_store = reaches_store;
    directory.AcceptDigest(digest, digest_at);
  };
  directory.PutPeer("silent", "zone", Endpoint{"10.0.0.1", 1});
  add("gone", 2, true, kStart);
  add("refused", 3, false, now);
  CHECK(directory.FindStoreRelays(now).size() == 3);
  add("z", 4, true, now);
  add("a", 5, true, now);
  const std::vector<Endpoint> relays = directory.FindStoreRelays(now);
  REQUIRE(relays.size() == 2);
  CHECK(relays[0].port == 4);
  CHECK(relays[1].port == 5);
}

// Guards against a datagram that ends the process: the decoder recursed at each
// level until the stack was used up.
TEST_CASE("A datagram that nests too deep is refused") {
  for (const char* level : {"\x81", "\x8f\x60", "\xa1\x60", "\x7f", "\x9f"}) {
    std::string bytes = "\x8e";
    while (bytes.size() < 1'000'000) {
      bytes += level;
    }
    CHECK(DecodeDigest(bytes).has_error());
    CHECK(DecodeTopicBatch(bytes).has_error());
    CHECK(!DecodePermitMessage(bytes).has_value());
    CHECK(!DecodeSlotMessage(bytes).has_value());
  }
}

TEST_CASE("Digests of unknown nodes are rejected") {
  PeerDirectory directory = MakeDirectory();
  CHECK(!directory.AcceptDigest(DigestOf("x"), kStart));
  CHECK(directory.CountLiveNodes(kStart) == 1);
}

}  // namespace
}  // namespace kumquatcart
