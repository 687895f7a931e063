#include "control/placement_planner.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "control/naive_placement.h"
#include "control/placement_fixture.h"
#include "control/placement_needs.h"
#include "control/placement_score.h"
#include "control/placement_state.h"
#include "control/spare_reserve.h"

namespace kumquatcart {
namespace {

using std::chrono::seconds;
using Planner = PlacementPlan (*)(const PlacementInput&);

std::string WeightsOf(const EngineClaim& claim) {
  return claim.service.value + "/" + claim.version;
}

// A failure domain whose engines obey plans at once, without a controller.
struct World {
  World() : now(ManualClock().Now()) {}

  void AddRack(const std::string& fabric, int count) {
    AddVms(&this->vms, fabric, count);
    for (const auto& [id, vm] : this->vms.vms) {
      EngineObservation& engine = this->engines.engines[id];
      engine.status.vm = id;
      engine.heard_at = this->now;
    }
  }

  PlacementInput MakeInput() const {
    PlacementInput input(kHome, this->config, this->vms, this->engines);
    input.now = this->now;
    input.lost_before = this->now - seconds(2);
    input.unfenced_heard_after = this->now - seconds(2);
    input.fence = 1;
    input.store.bytes_per_second = 1'000'000'000;
    for (const auto& [id, engine] : this->engines.engines) {
      if (engine.status.state == EngineState::kDraining) {
        input.draining_since[engine.status.claim.group] =
            this->now - seconds(1);
      }
    }
    return input;
  }

  // Weighted missing replicas and idle accelerators. VMs that were released and
  // wait for nothing count as idle too, so that releasing gains nothing.
  double Score() const {
    const PlacementState state = BuildPlacementState(this->MakeInput());
    const PlacementScore score = ScorePlacement(state);
    double total = 0;
    double stranding_weight = 0;
    for (std::size_t i = 0; i < state.demands.size(); ++i) {
      total +=
          state.demands[i].downtime_weight * score.services[i].missing_replicas;
      stranding_weight =
          std::max(stranding_weight, state.demands[i].stranding_weight);
    }
    return total + stranding_weight * score.idle_accelerators;
  }

  // Weighted missing replicas only.
  double Downtime() const {
    const PlacementState state = BuildPlacementState(this->MakeInput());
    const PlacementScore score = ScorePlacement(state);
    double total = 0;
    for (std::size_t i = 0; i < state.demands.size(); ++i) {
      total +=
          state.demands[i].downtime_weight * score.services[i].missing_replicas;
    }
    return total;
  }

  void Lose(const VmId& vm) {
    this->engines.engines.at(vm).heard_at = this->now - seconds(60);
  }

  void Return(const VmId& vm) {
    this->engines.engines.at(vm).heard_at = this->now;
  }

  // Carries a plan out. Returns what an engine would have refused.
  std::string Obey(const PlacementPlan& plan) {
    for (PlacementAction action : plan.actions) {
      if (action.claim.group.IsEmpty()) {
        action.claim.group = GroupId("g" + std::to_string(++this->last_group));
      }
      for (const VmId& vm : action.targets) {
        const std::string refusal = this->Obey(vm, action);
        if (!refusal.empty()) {
          return vm.value + ": " + refusal;
        }
      }
    }
    return "";
  }

  void FinishLoads() {
    for (auto& [id, engine] : this->engines.engines) {
      EngineStatus& status = engine.status;
      if (!status.claim.group.IsEmpty()) {
        status.loaded_version = WeightsOf(status.claim);
      }
    }
  }

  // Plans, obeys and loads until nothing is left to do. Returns the number of
  // plans with actions.
  int Settle(Planner planner, int limit = 60) {
    for (int round = 0; round < limit; ++round) {
      const PlacementPlan plan = planner(this->MakeInput());
      if (plan.actions.empty()) {
        return round;
      }
      const std::string refusal = this->Obey(plan);
      RC_ASSERT(refusal == "");
      this->FinishLoads();
    }
    RC_FAIL("does not settle");
  }

  std::string Obey(const VmId& vm, const PlacementAction& action) {
    EngineStatus& status = this->engines.engines.at(vm).status;
    if (this->engines.engines.at(vm).heard_at < this->now - seconds(2)) {
      return "ordered although lost";
    }
    const bool empty = status.claim.group.IsEmpty();
    const bool own = status.claim.group == action.claim.group;
    switch (action.kind) {
      case PlacementActionKind::kForm:
      case PlacementActionKind::kSwap:
      case PlacementActionKind::kReclaim:
        if (!empty && !(own && action.claim.epoch > status.claim.epoch)) {
          return "claimed by " + status.claim.group.value;
        }
        status.claim = action.claim;
        status.state = EngineState::kLoading;
        if (status.loaded_version != WeightsOf(action.claim)) {
          status.loaded_version.clear();
          ++this->loads;
        }
        break;
      case PlacementActionKind::kServe:
        status.state = EngineState::kReady;
        break;
      case PlacementActionKind::kDrain:
        status.state = EngineState::kDraining;
        break;
      case PlacementActionKind::kRelease:
        if (!own || status.claim.epoch != action.claim.epoch) {
          return "released from another group";
        }
        // The most pessimistic engine: keeps no weights of a past group.
        status.loaded_version.clear();
        status.claim = EngineClaim();
        status.state = EngineState::kEmpty;
        break;
      case PlacementActionKind::kSetRole:
        status.claim.role = action.claim.role;
        break;
    }
    return "";
  }

  int CountWhole() const {
    int whole = 0;
    for (const auto& [id, group] :
         DeriveGroups(this->vms, this->engines, this->now - seconds(2))
             .groups) {
      whole += group.state == GroupState::kWhole ? 1 : 0;
    }
    return whole;
  }

  MonotonicTime now;
  ConfigView config;
  VmTable vms;
  EngineTable engines;
  int last_group = 0;
  int loads = 0;  // VMs that were told to load weights.
};

// What is wrong with the serving groups, judged member by member.
std::string FindBadGroup(const World& world) {
  std::set<VmId> used;
  const GroupTable table =
      DeriveGroups(world.vms, world.engines, world.now - seconds(2));
  for (const auto& [id, group] : table.groups) {
    if (group.state != GroupState::kWhole) {
      continue;
    }
    const ObjectName name(group.claim.service.value + "-class");
    const int size = world.config.replica_group_classes.at(name).body.vm_count;
    if (static_cast<int>(group.claim.members.size()) != size) {
      return "partial";
    }
    for (const VmId& vm : group.claim.members) {
      const EngineStatus& status = world.engines.engines.at(vm).status;
      if (status.claim.group != id || status.claim.epoch != group.claim.epoch) {
        return "a member does not confirm";
      }
      if (!used.insert(vm).second) {
        return "shared";
      }
      if (world.vms.vms.at(vm).fabric_domain != group.fabric_domain) {
        return "across fabric domains";
      }
    }
  }
  return "";
}

World MakeRandomWorld() {
  World world;
  const int racks = *rc::gen::inRange(1, 4);
  for (int i = 0; i < racks; ++i) {
    world.AddRack("rack-" + std::to_string(i), *rc::gen::inRange(3, 40));
  }
  AddService(&world.config, "truelle-llm", *rc::gen::inRange(1, 8),
             *rc::gen::inRange(2, 5));
  AddService(&world.config, "lm-pool", *rc::gen::inRange(0, 6),
             *rc::gen::element(1, 2, 8, 32));
  for (auto& [name, intent] : world.config.placement_intents) {
    intent.body.downtime_weight = *rc::gen::inRange(1, 20);
    intent.body.stranding_weight = *rc::gen::inRange(0, 10);
  }
  return world;
}

// Loses, returns, restarts or retires random VMs.
void Disturb(World* world) {
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    auto vm = world->vms.vms.begin();
    std::advance(vm, *rc::gen::inRange<std::size_t>(0, world->vms.vms.size()));
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1:
        world->Lose(vm->first);
        break;
      case 2:
        world->Return(vm->first);
        break;
      case 3:
        world->engines.engines.at(vm->first).status = EngineStatus();
        world->engines.engines.at(vm->first).status.vm = vm->first;
        break;
      default:
        vm->second.state = vm->second.state == VmState::kLive
                               ? VmState::kLeaving
                               : VmState::kLive;
        break;
    }
  }
}

TEST_CASE("groups are whole, unshared and in one fabric domain at every step") {
  rc::prop("as the naive check sees it", [] {
    World world = MakeRandomWorld();
    for (int round = 0; round < 40; ++round) {
      if (*rc::gen::inRange(0, 3) == 0) {
        Disturb(&world);
      }
      const PlacementPlan plan = PlanPlacement(world.MakeInput());
      std::set<VmId> targets;
      for (const PlacementAction& action : plan.actions) {
        for (const VmId& vm : action.targets) {
          RC_ASSERT(targets.insert(vm).second);
        }
      }
      RC_ASSERT(world.Obey(plan) == "");
      if (*rc::gen::arbitrary<bool>()) {
        world.FinishLoads();
      }
      RC_ASSERT(FindBadGroup(world) == "");
    }
  });
}

// A world in which everything wanted fits and some VMs are left as spares.
World MakeRoomyWorld() {
  World world;
  AddService(&world.config, "truelle-llm", *rc::gen::inRange(1, 8),
             *rc::gen::inRange(2, 5));
  AddService(&world.config, "lm-pool", *rc::gen::inRange(1, 5),
             *rc::gen::element(1, 2, 8));
  const int racks = *rc::gen::inRange(1, 4);
  for (int i = 0; i < racks; ++i) {
    world.AddRack("rack-" + std::to_string(i), 60 + *rc::gen::inRange(0, 10));
  }
  for (auto& [name, intent] : world.config.placement_intents) {
    intent.body.downtime_weight = *rc::gen::inRange(1, 20);
    intent.body.stranding_weight = *rc::gen::inRange(0, 10);
  }
  return world;
}

VmId PickVm(const World& world) {
  auto vm = world.vms.vms.begin();
  std::advance(vm, *rc::gen::inRange<std::size_t>(0, world.vms.vms.size()));
  return vm->first;
}

std::map<GroupId, EngineClaim> FindWhole(const World& world) {
  std::map<GroupId, EngineClaim> whole;
  for (const auto& [id, group] :
       DeriveGroups(world.vms, world.engines, world.now - seconds(2)).groups) {
    if (group.state == GroupState::kWhole) {
      whole[id] = group.claim;
    }
  }
  return whole;
}

TEST_CASE("with spares every group is restored, with fewer loads than naive") {
  rc::prop("whole groups, score and claims given", [] {
    World ours = MakeRoomyWorld();
    ours.Settle(PlanPlacement);
    RC_ASSERT(ours.Score() == 0);
    World naive = ours;
    const int losses = *rc::gen::inRange(1, 4);
    for (int i = 0; i < losses; ++i) {
      const VmId vm = PickVm(ours);
      ours.Lose(vm);
      naive.Lose(vm);
    }
    ours.loads = 0;
    naive.loads = 0;
    ours.Settle(PlanPlacement);
    naive.Settle(PlanNaivePlacement);
    RC_ASSERT(ours.Score() <= naive.Score());
    RC_ASSERT(ours.loads <= losses);
    RC_ASSERT(ours.loads <= naive.loads);
    RC_ASSERT(FindBadGroup(ours) == "");
  });
}

TEST_CASE("plans settle also where VMs are short") {
  rc::prop("no repair that does not improve the score", [] {
    World world = MakeRandomWorld();
    world.Settle(PlanPlacement);
    for (int round = 0; round < 4; ++round) {
      Disturb(&world);
      const double before = world.Downtime();
      world.Settle(PlanPlacement);
      RC_ASSERT(world.Downtime() <= before);
      RC_ASSERT(FindBadGroup(world) == "");
    }
  });
}

TEST_CASE("a returning VM disturbs no group that serves") {
  rc::prop("claims of whole groups stay", [] {
    World world = MakeRandomWorld();
    world.Settle(PlanPlacement);
    const VmId vm = PickVm(world);
    world.Lose(vm);
    world.Settle(PlanPlacement);
    const std::map<GroupId, EngineClaim> before = FindWhole(world);
    for (const auto& [id, claim] : before) {
      world.engines.engines.at(claim.members[0]).status.load.running = 1;
    }
    world.Return(vm);
    world.Settle(PlanPlacement);
    const std::map<GroupId, EngineClaim> after = FindWhole(world);
    for (const auto& [id, claim] : before) {
      RC_ASSERT(after.count(id) == 1U);
      RC_ASSERT(after.at(id) == claim);
    }
  });
}

// One rack, no spares: two groups of two with a lost member each.
World MakeBrokenPair(double first_weight, double second_weight) {
  World world;
  world.AddRack("rack-0", 4);
  AddService(&world.config, "truelle-llm", 1, 2);
  AddService(&world.config, "lm-pool", 1, 2);
  world.config.placement_intents.at(ObjectName("truelle-llm-intent"))
      .body.downtime_weight = first_weight;
  world.config.placement_intents.at(ObjectName("lm-pool-intent"))
      .body.downtime_weight = second_weight;
  world.Settle(PlanPlacement);
  std::set<GroupId> broken;
  for (const auto& [id, engine] : world.engines.engines) {
    if (broken.insert(engine.status.claim.group).second) {
      world.Lose(id);
    }
  }
  return world;
}

bool Serves(const World& world, const std::string& service) {
  for (const auto& [id, group] :
       DeriveGroups(world.vms, world.engines, world.now - seconds(2)).groups) {
    if (group.state == GroupState::kWhole &&
        group.claim.service.value == service) {
      return true;
    }
  }
  return false;
}

TEST_CASE("the least valuable incomplete group completes the most valuable") {
  World world = MakeBrokenPair(10, 1);
  world.Settle(PlanPlacement);
  REQUIRE(Serves(world, "truelle-llm"));
  REQUIRE_FALSE(Serves(world, "lm-pool"));
  World reversed = MakeBrokenPair(1, 10);
  reversed.Settle(PlanPlacement);
  REQUIRE(Serves(reversed, "lm-pool"));
}

TEST_CASE("an incomplete group waits for VMs that are expected at once") {
  World world = MakeBrokenPair(10, 1);
  PlacementInput input = world.MakeInput();
  for (const auto& [id, engine] : world.engines.engines) {
    if (engine.heard_at < input.lost_before) {
      input.expected_return[id] = {world.now + seconds(1), true};
    }
  }
  REQUIRE(PlanPlacement(input).actions.empty());
  for (auto& [id, back] : input.expected_return) {
    back.at = world.now + seconds(600);
  }
  REQUIRE_FALSE(PlanPlacement(input).actions.empty());
}

TEST_CASE("a spare is swapped in unless the lost VM is back sooner") {
  World world;
  world.AddRack("rack-0", 3);
  AddService(&world.config, "truelle-llm", 1, 2);
  world.Settle(PlanPlacement);
  const VmId lost = FindWhole(world).begin()->second.members[0];
  world.Lose(lost);
  PlacementInput input = world.MakeInput();
  // A spare loads for one second.
  input.expected_return[lost] = {world.now + seconds(0), true};
  REQUIRE(PlanPlacement(input).actions.empty());
  input.expected_return[lost] = {world.now + seconds(5), true};
  REQUIRE(PlanPlacement(input).actions.size() == 1);
  input.expected_return[lost] = {world.now + seconds(0), false};
  REQUIRE(PlanPlacement(input).actions.size() == 1);
}

TEST_CASE("the weight store's rate goes to the most valuable group first") {
  World world;
  world.AddRack("rack-0", 40);
  AddService(&world.config, "truelle-llm", 1, 2);
  AddService(&world.config, "lm-pool", 8, 4);
  for (auto& [name, service] : world.config.model_services) {
    service.body.weights_bytes_per_vm = 10'000'000'000;
  }
  world.config.placement_intents.at(ObjectName("truelle-llm-intent"))
      .body.downtime_weight = 100;
  const PlacementPlan plan = PlanPlacement(world.MakeInput());
  REQUIRE(plan.actions.size() == 1);
  REQUIRE(plan.actions.front().claim.service.value == "truelle-llm");
}

TEST_CASE("large groups find room beside small ones") {
  World world;
  world.AddRack("rack-0", 40);
  world.AddRack("rack-1", 40);
  AddService(&world.config, "truelle-llm", 18, 2);
  AddService(&world.config, "lm-pool", 1, 32);
  world.config.placement_intents.at(ObjectName("truelle-llm-intent"))
      .body.downtime_weight = 100;
  world.Settle(PlanPlacement);
  REQUIRE(Serves(world, "lm-pool"));
  REQUIRE(world.CountWhole() == 19);
}

TEST_CASE("two holders never give out the same epoch") {
  const GroupEpoch older = NextEpoch(NextEpoch(0, 50), 50);
  REQUIRE(NextEpoch(0, 50) < older);
  REQUIRE(NextEpoch(older, 51) > older);
  REQUIRE(NextEpoch(older, 51) != NextEpoch(older, 50));
  REQUIRE(NextEpoch(NextEpoch(0, 49), 51) != NextEpoch(NextEpoch(0, 49), 50));
}

TEST_CASE("the spare reserve grows with the failure rate") {
  PlacementLimits limits;
  const int usual = SpareReserve(100, limits);
  REQUIRE(usual >= 1);
  limits.failures_per_vm_day *= 50;
  REQUIRE(SpareReserve(100, limits) > usual);
  limits.failures_per_vm_day = 0;
  REQUIRE(SpareReserve(100, limits) == 0);
}

}  // namespace
}  // namespace kumquatcart
