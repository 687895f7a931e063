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
  void PushNow(const std::string&) override { ++this->pushes; }

  std::shared_ptr<GossipTopic> topic;
  int pushes = 0;
};

// Four nodes, two in each of two failure domains; all report.
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
    this->exchange.Join();
  }

  void PullFrom(const Node& other) {
    const Json digest = this->network.topic->Digest();
    const Json delta = other.network.topic->DeltaFor(digest, 100000).value();
    if (!delta.is_null()) {
      REQUIRE(this->network.topic->Merge(delta).has_value());
    }
  }

  GroupState Seen() {
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

TEST_CASE("A group is whole abroad only while every living reporter says so") {
  Node here(0);
  Node first(2);
  Node second(3);
  first.exchange.Report(MakeGroups(GroupState::kWhole, 1));
  second.exchange.Report(MakeGroups(GroupState::kWhole, 1));
  here.PullFrom(first);
  here.PullFrom(second);
  REQUIRE(here.Seen() == GroupState::kWhole);
  second.exchange.Report(MakeGroups(GroupState::kIncomplete, 1));
  REQUIRE(second.network.pushes == 2);
  here.PullFrom(second);
  REQUIRE(here.Seen() == GroupState::kIncomplete);
}

TEST_CASE("The reports of dead nodes no longer count") {
  Node here(0);
  Node there(2);
  there.exchange.Report(MakeGroups(GroupState::kWhole, 1));
  here.PullFrom(there);
  REQUIRE(here.Seen() == GroupState::kWhole);
  MemberTable members = *here.board.members.Read();
  members.members[NodeId("n2")].state = MemberState::kDead;
  here.board.members.Publish(members);
  REQUIRE(here.exchange.RemoteGroups().groups.empty());
}

TEST_CASE("A node speaks only for its own failure domain") {
  Node here(0);
  ReportTopic forged(kGroupTopic, TopicScope::kEverywhere, NodeId("n2"));
  ReplicaGroup group = MakeGroups(GroupState::kWhole, 1).groups.begin()->second;
  group.failure_domain = FailureDomainId("fd0");
  forged.SetOwn({{"g1", ToSummary(group)}, {"g2", "nonsense"}});
  const Json delta =
      forged.DeltaFor(here.network.topic->Digest(), 1000).value();
  REQUIRE(here.network.topic->Merge(delta).has_value());
  REQUIRE(here.exchange.RemoteGroups().groups.empty());
}

TEST_CASE("Load alone travels at most each five seconds, states at once") {
  Node there(2);
  there.clock.Advance(std::chrono::seconds(60));
  for (int tick = 0; tick < 100; ++tick) {
    there.exchange.Report(MakeGroups(GroupState::kWhole, tick));
    there.clock.Advance(std::chrono::milliseconds(100));
  }
  REQUIRE(there.network.pushes == 2);
  there.exchange.Report(MakeGroups(GroupState::kDraining, 99));
  REQUIRE(there.network.pushes == 3);
}

}  // namespace
}  // namespace kumquatcart
