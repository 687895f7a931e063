#include "control/group_exchange.h"

#include <catch2/catch.hpp>

#include "peers/overlay.h"

namespace kumquatcart {
namespace {

class FakeNetwork : public PeerNetwork {
 public:
  void AddTopic(std::shared_ptr<GossipTopic> added) override {
    this->topic = std::move(added);
  }
  void SchedulePush(const std::string&) override { ++this->pushes; }

  std::shared_ptr<GossipTopic> topic;
  int pushes = 0;
};

// Four nodes, two in each of two failure domains; all are reporters.
Member MakeMember(int index) {
  Member member;
  member.identity.id = NodeId("n" + std::to_string(index));
  member.identity.failure_domain =
      FailureDomainId("fd" + std::to_string(index / 2));
  return member;
}

struct Node {
  explicit Node(int index) : board(MakeMember(index).identity) {
    MemberTable members;
    for (int member = 0; member < 4; ++member) {
      members.members[MakeMember(member).identity.id] = MakeMember(member);
    }
    this->board.members.Publish(members);
    this->exchange.RegisterTopic();
  }

  void PullFrom(const Node& other) {
    const Json digest = this->network.topic->Digest();
    const Json delta = other.network.topic->DeltaFor(digest, 100000).value();
    if (!delta.is_null()) {
      REQUIRE(this->network.topic->Merge(delta).has_value());
    }
  }

  GroupState ObservedState() {
    const GroupTable table = this->exchange.RemoteGroups();
    const auto found = table.groups.find(GroupId("g1"));
    return found == table.groups.end() ? GroupState::kIncomplete
                                       : found->second.state;
  }

  ManualClock clock;
  Board board;
  FakeNetwork network;
  GroupExchange exchange{&this->clock, &this->board, &this->network};
};

GroupTable MakeGroups(GroupState state, int running) {
  ReplicaGroup group;
  group.claim.group = GroupId("g1");
  group.claim.epoch = 3;
  group.state = state;
  group.failure_domain = FailureDomainId("fd1");
  group.leader = {"10.0.0.9", 80};
  group.load.running = running;
  GroupTable table;
  table.groups[group.claim.group] = group;
  return table;
}

TEST_CASE("A remote group is whole only if every live reporter says so") {
  Node local(0);
  Node first(2);
  Node second(3);
  first.exchange.Report(MakeGroups(GroupState::kWhole, 1));
  second.exchange.Report(MakeGroups(GroupState::kWhole, 1));
  local.PullFrom(first);
  local.PullFrom(second);
  REQUIRE(local.ObservedState() == GroupState::kWhole);
  second.exchange.Report(MakeGroups(GroupState::kIncomplete, 1));
  REQUIRE(second.network.pushes == 2);
  local.PullFrom(second);
  REQUIRE(local.ObservedState() == GroupState::kIncomplete);
}

TEST_CASE("Reports of dead nodes are ignored") {
  Node local(0);
  Node remote(2);
  remote.exchange.Report(MakeGroups(GroupState::kWhole, 1));
  local.PullFrom(remote);
  REQUIRE(local.ObservedState() == GroupState::kWhole);
  MemberTable members = *local.board.members.Read();
  members.members[NodeId("n2")].state = MemberState::kDead;
  local.board.members.Publish(members);
  REQUIRE(local.exchange.RemoteGroups().groups.empty());
}

TEST_CASE("Reports on groups of another failure domain are ignored") {
  Node local(0);
  ReportTopic forged(kGroupTopic, TopicScope::kEverywhere, NodeId("n2"));
  ReplicaGroup group = MakeGroups(GroupState::kWhole, 1).groups.begin()->second;
  group.failure_domain = FailureDomainId("fd0");
  forged.SetOwnReport({{"g1", ToSummary(group)}, {"g2", "nonsense"}});
  const Json delta =
      forged.DeltaFor(local.network.topic->Digest(), 1000).value();
  REQUIRE(local.network.topic->Merge(delta).has_value());
  REQUIRE(local.exchange.RemoteGroups().groups.empty());
}

TEST_CASE("Load changes are sent every five seconds, states immediately") {
  Node remote(2);
  remote.clock.Advance(std::chrono::seconds(60));
  for (int tick = 0; tick < 100; ++tick) {
    remote.exchange.Report(MakeGroups(GroupState::kWhole, tick));
    remote.clock.Advance(std::chrono::milliseconds(100));
  }
  REQUIRE(remote.network.pushes == 2);
  remote.exchange.Report(MakeGroups(GroupState::kDraining, 99));
  REQUIRE(remote.network.pushes == 3);
}

}  // namespace
}  // namespace kumquatcart
