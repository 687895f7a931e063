#include "control/group_controller.h"

#include <map>

#include <catch2/catch.hpp>

#include "control/placement_fixture.h"

namespace kumquatcart {
namespace {

using std::chrono::seconds;

TEST_CASE("groups are formed and served in one fabric domain") {
  PlacementFixture fixture;
  fixture.AddFabric("rack-1", 5);
  fixture.AddFabric("rack-2", 3);
  AddService(&fixture.config, "truelle-llm", 3, 2);
  ControlNode& node = fixture.AddNode("a");
  fixture.Run(node, 8);
  const std::vector<ReplicaGroup> whole = fixture.WholeGroups();
  REQUIRE(whole.size() == 3);
  for (const ReplicaGroup& group : whole) {
    REQUIRE(group.claim.members.size() == 2);
    for (const VmId& vm : group.claim.members) {
      REQUIRE(fixture.vms.vms.at(vm).fabric_domain == group.fabric_domain);
    }
  }
  const std::size_t orders = fixture.fleet.AcceptedOrders().size();
  fixture.Run(node, 8);
  REQUIRE(fixture.fleet.AcceptedOrders().size() == orders);
  REQUIRE_FALSE(node.audit.empty());
}

TEST_CASE("a lost member is replaced by a spare and only that one loads") {
  PlacementFixture fixture;
  fixture.AddFabric("rack-1", 5);
  AddService(&fixture.config, "truelle-llm", 2, 2);
  ControlNode& node = fixture.AddNode("a");
  fixture.Run(node, 8);
  const ReplicaGroup before = fixture.WholeGroups().front();
  const VmId lost = before.claim.members[1];
  const VmId kept = before.claim.members[0];
  fixture.fleet.SetSilent(lost, true);
  fixture.Run(node, 9);  // The VM counts as lost after two seconds.
  fixture.Step(node);
  const std::vector<ReplicaGroup> whole = fixture.WholeGroups();
  REQUIRE(whole.size() == 2);
  REQUIRE(fixture.fleet.StatusOf(kept).claim.group == before.claim.group);
  REQUIRE(fixture.fleet.StatusOf(kept).claim.epoch > before.claim.epoch);

  // The lost VM returns with its old claim and becomes a spare.
  fixture.fleet.SetSilent(lost, false);
  fixture.Run(node, 4);
  REQUIRE(fixture.fleet.StatusOf(lost).claim.group.IsEmpty());
  REQUIRE(fixture.WholeGroups().size() == 2);
}

TEST_CASE("a leaving VM's group drains before the member is swapped") {
  PlacementFixture fixture;
  fixture.AddFabric("rack-1", 3);
  AddService(&fixture.config, "truelle-llm", 1, 2);
  ControlNode& node = fixture.AddNode("a");
  fixture.Run(node, 8);
  const ReplicaGroup before = fixture.WholeGroups().front();
  const VmId leaving = before.claim.members[0];
  fixture.fleet.SetRunning(leaving, 3);
  fixture.vms.vms.at(leaving).state = VmState::kLeaving;
  fixture.Run(node, 8);
  REQUIRE(fixture.fleet.StatusOf(leaving).state == EngineState::kDraining);
  REQUIRE(fixture.fleet.StatusOf(leaving).claim == before.claim);
  fixture.fleet.SetRunning(leaving, 0);
  fixture.Run(node, 6);
  REQUIRE(fixture.fleet.StreamsEnded() == 0);
  const std::vector<ReplicaGroup> whole = fixture.WholeGroups();
  REQUIRE(whole.size() == 1);
  REQUIRE(whole.front().claim.group == before.claim.group);
}

// Runs a stream on every whole group; it ends after four rounds of draining.
void KeepStreams(PlacementFixture* fixture,
                 std::map<VmId, int>* rounds_drained) {
  for (const ReplicaGroup& group : fixture->WholeGroups()) {
    fixture->fleet.SetRunning(group.claim.members[0], 1);
  }
  for (const auto& [id, vm] : fixture->vms.vms) {
    const bool drains =
        fixture->fleet.StatusOf(id).state == EngineState::kDraining;
    int& rounds = (*rounds_drained)[id];
    rounds = drains ? rounds + 1 : 0;
    if (rounds == 4) {
      fixture->fleet.SetRunning(id, 0);
    }
  }
}

TEST_CASE("a new version is rolled out without ending a stream") {
  PlacementFixture fixture;
  fixture.AddFabric("rack-1", GENERATE(7, 6));  // With and without spares.
  AddService(&fixture.config, "truelle-llm", 3, 2);
  ControlNode& node = fixture.AddNode("a");
  fixture.Run(node, 8);
  fixture.config.model_services[ObjectName("truelle-llm")].body.version = "v2";
  std::map<VmId, int> rounds_drained;
  for (int round = 0; round < 80; ++round) {
    const std::vector<ReplicaGroup> whole = fixture.WholeGroups();
    REQUIRE(whole.size() >= 2);
    KeepStreams(&fixture, &rounds_drained);
    fixture.Run(node, 1);
  }
  REQUIRE(fixture.fleet.StreamsEnded() == 0);
  const std::vector<ReplicaGroup> whole = fixture.WholeGroups();
  REQUIRE(whole.size() == 3);
  for (const ReplicaGroup& group : whole) {
    REQUIRE(group.claim.version == "v2");
  }
}

TEST_CASE("a role change drains one group at a time") {
  PlacementFixture fixture;
  fixture.AddFabric("rack-1", 6);
  AddService(&fixture.config, "truelle-llm", 3, 2);
  ControlNode& node = fixture.AddNode("a");
  fixture.Run(node, 8);
  fixture.config.model_services[ObjectName("truelle-llm")].body.role =
      EngineRole::kDecode;
  std::map<VmId, int> rounds_drained;
  for (int round = 0; round < 60; ++round) {
    KeepStreams(&fixture, &rounds_drained);
    const EngineTable before =
        fixture.fleet.Observe(fixture.clock.Now(), EngineTable());
    fixture.Run(node, 1);
    REQUIRE(fixture.WholeGroups().size() >= 2);
    for (const auto& [id, observation] : before.engines) {
      const bool changed = fixture.fleet.StatusOf(id).claim.role !=
                           observation.status.claim.role;
      REQUIRE_FALSE((changed && observation.status.load.running > 0));
    }
  }
  for (const ReplicaGroup& group : fixture.WholeGroups()) {
    REQUIRE(group.claim.role == EngineRole::kDecode);
  }
  REQUIRE(fixture.WholeGroups().size() == 3);
}

TEST_CASE("a lease holder replaces no VM right after its own pause") {
  PlacementFixture fixture;
  fixture.AddFabric("rack-1", 5);
  AddService(&fixture.config, "truelle-llm", 2, 2);
  ControlNode& node = fixture.AddNode("a");
  fixture.Run(node, 8);
  const VmId not_polled = fixture.WholeGroups().front().claim.members[0];
  const std::size_t orders = fixture.fleet.AcceptedOrders().size();
  fixture.clock.Jump(seconds(3));
  // The controller runs before the watcher has polled every VM again.
  node.board.engines.Update([&](EngineTable engines) {
    for (auto& [id, observation] : engines.engines) {
      if (id != not_polled) {
        observation.observed_at = fixture.clock.Now();
      }
    }
    return engines;
  });
  node.lease.RunOnce();
  node.groups.RunOnce();
  REQUIRE(fixture.fleet.AcceptedOrders().size() == orders);
  fixture.Run(node, 12);
  REQUIRE(fixture.fleet.AcceptedOrders().size() == orders);
}

}  // namespace
}  // namespace kumquatcart
