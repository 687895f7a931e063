#include "peers/peer_node.h"

#include <catch2/catch.hpp>

#include "peers/fake_peer_net.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Nodes discover one another through a seed") {
  FakePeerNetwork net(12);
  net.AdvanceTime(seconds(5));
  REQUIRE(net.AllAlive());
}

TEST_CASE("A dead node is detected by every node within two seconds") {
  FakePeerNetwork net(12);
  net.AdvanceTime(seconds(5));
  net.StopNode(7);
  net.AdvanceTime(seconds(2));
  for (std::size_t node = 0; node < 12; ++node) {
    if (node != 7) {
      REQUIRE(net.StateAt(node, 7) == MemberState::kDead);
    }
  }
  REQUIRE(net.AllAlive());
}

TEST_CASE("A resumed node suspects no member and rejoins") {
  FakePeerNetwork net(8);
  net.AdvanceTime(seconds(5));
  net.frozen.insert(3);
  net.AdvanceTime(seconds(30));
  REQUIRE(net.StateAt(0, 3) == MemberState::kDead);
  net.frozen.clear();
  net.AdvanceTime(seconds(3));
  REQUIRE(net.Count(3, "kumquatcart_peer_own_pauses_total") == 1);
  REQUIRE(net.Count(3, "kumquatcart_peer_suspicions_total") == 0);
  REQUIRE(net.AllAlive());
}

TEST_CASE("A simultaneous pause of all nodes causes no suspicions") {
  FakePeerNetwork net(8);
  net.AdvanceTime(seconds(5));
  net.clock.Jump(seconds(20));
  net.AdvanceTime(seconds(3));
  for (std::size_t node = 0; node < 8; ++node) {
    REQUIRE(net.Count(node, "kumquatcart_peer_suspicions_total") == 0);
  }
  REQUIRE(net.AllAlive());
}

TEST_CASE("A silent connection is replaced before its peer is suspected") {
  FakePeerNetwork net(6);
  net.AdvanceTime(seconds(5));
  for (LinkId link = 1; link <= net.last_link; ++link) {
    net.silent_links.insert(link);
  }
  net.AdvanceTime(seconds(3));
  std::uint64_t suspicions = 0;
  for (std::size_t node = 0; node < 6; ++node) {
    suspicions += net.Count(node, "kumquatcart_peer_suspicions_total");
  }
  REQUIRE(suspicions == 0);
  REQUIRE(net.AllAlive());
}

TEST_CASE("A broken path between two nodes causes no deaths") {
  FakePeerNetwork net(8);
  net.AdvanceTime(seconds(5));
  net.cuts.insert({2, 4});
  for (int step = 0; step < 100; ++step) {
    net.AdvanceTime(milliseconds(100));
    REQUIRE(net.StateAt(0, 2) != MemberState::kDead);
    REQUIRE(net.StateAt(0, 4) != MemberState::kDead);
  }
}

TEST_CASE("Both sides of a partition keep running and merge after an hour") {
  FakePeerNetwork net(8);
  net.AdvanceTime(seconds(5));
  for (std::size_t one = 0; one < 4; ++one) {
    for (std::size_t other = 4; other < 8; ++other) {
      net.cuts.insert({one, other});
    }
  }
  net.AdvanceTime(seconds(3));
  REQUIRE(net.StateAt(0, 1) == MemberState::kAlive);
  REQUIRE(net.StateAt(0, 5) == MemberState::kDead);
  REQUIRE(net.StateAt(5, 6) == MemberState::kAlive);
  net.AdvanceTime(std::chrono::hours(1));
  net.cuts.clear();
  net.AdvanceTime(seconds(15));
  REQUIRE(net.AllAlive());
}

TEST_CASE("A node with another shared key is rejected and counted") {
  FakePeerNetwork net(3);
  net.AdvanceTime(seconds(3));
  FakePeerNetwork::Node& foreign_node = net.AddNode(std::string(32, 'x'));
  net.AdvanceTime(seconds(5));
  REQUIRE(net.StateAt(0, 3) == MemberState::kDead);
  REQUIRE(foreign_node.members.members.size() == 1);
  REQUIRE(net.Refused(0, "foreign-key") + net.Refused(3, "foreign-key") > 0);
}

TEST_CASE("All nodes receive a leaving update within a tick") {
  FakePeerNetwork net(6);
  net.AdvanceTime(seconds(5));
  net.nodes[4]->peer.Leave();
  net.nodes[4]->peer.PushChangedTopics();
  net.Deliver();
  net.AdvanceTime(net.settings.tick_interval);
  for (std::size_t node = 0; node < 6; ++node) {
    REQUIRE(net.StateAt(node, 4) == MemberState::kLeaving);
  }
}

TEST_CASE("Attributes that a node publishes reach all nodes") {
  FakePeerNetwork net(12);
  net.AdvanceTime(seconds(5));
  net.nodes[5]->peer.SetOwnAttributes(17, false);
  net.AdvanceTime(seconds(8));
  for (std::size_t node = 0; node < 12; ++node) {
    const Member& member = net.nodes[node]->members.members.at(
        FakePeerNetwork::MakeIdentity(5).id);
    REQUIRE(member.config_offset == 17);
    REQUIRE(!member.platform_reachable);
  }
}

}  // namespace
}  // namespace kumquatcart
