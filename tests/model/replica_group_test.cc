#include "model/replica_group.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

constexpr MonotonicTime kNow{std::chrono::hours(1)};
constexpr MonotonicTime kLostBefore{std::chrono::minutes(59)};

struct Cluster {
  VmTable vms;
  EngineTable engines;
};

EngineClaim MakeClaim(int members) {
  EngineClaim claim;
  claim.group = GroupId("g1");
  claim.epoch = 2;
  for (int index = 0; index < members; ++index) {
    claim.members.emplace_back("vm" + std::to_string(index));
  }
  return claim;
}

Cluster MakeWholeCluster(int members) {
  Cluster cluster;
  const EngineClaim claim = MakeClaim(members);
  for (const VmId& vm : claim.members) {
    cluster.vms.vms[vm].id = vm;
    EngineObservation& observation = cluster.engines.engines[vm];
    observation.observed_at = kNow;
    observation.status.vm = vm;
    observation.status.claim = claim;
    observation.status.state = EngineState::kReady;
  }
  return cluster;
}

GroupState StateOf(const Cluster& cluster) {
  const GroupTable table =
      DeriveGroups(cluster.vms, cluster.engines, kLostBefore);
  const auto found = table.groups.find(GroupId("g1"));
  return found == table.groups.end() ? GroupState::kIncomplete
                                     : found->second.state;
}

TEST_CASE("A group is whole only while every member confirms it") {
  rc::prop("one disturbed member closes the group", [] {
    const int members = *rc::gen::inRange(1, 33);
    const int victim = *rc::gen::inRange(0, members);
    const int disturbance = *rc::gen::inRange(0, 5);
    Cluster cluster = MakeWholeCluster(members);
    RC_ASSERT(StateOf(cluster) == GroupState::kWhole);
    const VmId vm("vm" + std::to_string(victim));
    EngineObservation& observation = cluster.engines.engines[vm];
    if (disturbance == 0) {
      cluster.vms.vms.erase(vm);
    } else if (disturbance == 1) {
      observation.observed_at = kLostBefore - std::chrono::nanoseconds(1);
    } else if (disturbance == 2) {
      observation.status.claim.epoch = 1;
    } else if (disturbance == 3) {
      observation.status.claim = EngineClaim();
    } else {
      observation.status.state = EngineState::kLoading;
    }
    RC_ASSERT(StateOf(cluster) != GroupState::kWhole);
  });
}

TEST_CASE("A leaving member drains its group") {
  Cluster cluster = MakeWholeCluster(3);
  cluster.vms.vms[VmId("vm1")].state = VmState::kLeaving;
  REQUIRE(StateOf(cluster) == GroupState::kDraining);
}

}  // namespace
}  // namespace kumquatcart
