#include "control/placement_planner.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "control/baseline_placement.h"
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

// A failure domain whose engines execute plans immediately, without a
// controller.
struct SimulatedDomain {
  SimulatedDomain() : now(ManualClock().Now()) {}

  void AddRack(const std::string& fabric, int count) {
    AddVms(&this->vms, fabric, count);
    for (const auto& [id, vm] : this->vms.vms) {
      EngineObservation& engine = this->engines.engines[id];
      engine.status.vm = id;
      engine.observed_at = this->now;
    }
  }

  PlacementInput MakeInput() const {
    PlacementInput input(kTestFailureDomain, this->config, this->vms,
                         this->engines);
    input.now = this->now;
    input.lost_before = this->now - seconds(2);
    input.unfenced_observed_after = this->now - seconds(2);
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

  // Returns the weighted missing replicas and idle accelerators. VMs released
  // without a new group count as idle too, so that releasing does not lower the
  // score.
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

  // Returns the weighted missing replicas only.
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
    this->engines.engines.at(vm).observed_at = this->now - seconds(60);
  }

  void Return(const VmId& vm) {
    this->engines.engines.at(vm).observed_at = this->now;
  }

  // Executes a plan. Returns the first order that an engine would refuse.
  std::string Execute(const PlacementPlan& plan) {
    for (PlacementAction action : plan.actions) {
      if (action.claim.group.IsEmpty()) {
        action.claim.group = GroupId("g" + std::to_string(++this->last_group));
      }
      for (const VmId& vm : action.targets) {
        const std::string refusal = this->Execute(vm, action);
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

  // Plans, executes and loads until a plan is empty. Returns the number of
  // plans with actions.
  int RunUntilStable(Planner planner, int limit = 60) {
    for (int round = 0; round < limit; ++round) {
      const PlacementPlan plan = planner(this->MakeInput());
      if (plan.actions.empty()) {
        return round;
      }
      const std::string refusal = this->Execute(plan);
      RC_ASSERT(refusal == "");
      this->FinishLoads();
    }
    RC_FAIL("plans do not become empty");
  }

  std::string Execute(const VmId& vm, const PlacementAction& action) {
    EngineStatus& status = this->engines.engines.at(vm).status;
    if (this->engines.engines.at(vm).observed_at < this->now - seconds(2)) {
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
        // Worst case: the engine keeps no weights of a former group.
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
  int loads = 0;  // Number of orders that made a VM load weights.
};

// Checks the serving groups member by member. Returns the first violation.
std::string FindBadGroup(const SimulatedDomain& domain) {
  std::set<VmId> used;
  const GroupTable table =
      DeriveGroups(domain.vms, domain.engines, domain.now - seconds(2));
  for (const auto& [id, group] : table.groups) {
    if (group.state != GroupState::kWhole) {
      continue;
    }
    const ObjectName name(group.claim.service.value + "-class");
    const int size = domain.config.replica_group_classes.at(name).body.vm_count;
    if (static_cast<int>(group.claim.members.size()) != size) {
      return "partial";
    }
    for (const VmId& vm : group.claim.members) {
      const EngineStatus& status = domain.engines.engines.at(vm).status;
      if (status.claim.group != id || status.claim.epoch != group.claim.epoch) {
        return "a member does not confirm";
      }
      if (!used.insert(vm).second) {
        return "shared";
      }
      if (domain.vms.vms.at(vm).fabric_domain != group.fabric_domain) {
        return "across fabric domains";
      }
    }
  }
  return "";
}

SimulatedDomain MakeRandomDomain() {
  SimulatedDomain domain;
  const int racks = *rc::gen::inRange(1, 4);
  for (int i = 0; i < racks; ++i) {
    domain.AddRack("rack-" + std::to_string(i), *rc::gen::inRange(3, 40));
  }
  AddService(&domain.config, "truelle-llm", *rc::gen::inRange(1, 8),
             *rc::gen::inRange(2, 5));
  AddService(&domain.config, "lm-pool", *rc::gen::inRange(0, 6),
             *rc::gen::element(1, 2, 8, 32));
  for (auto& [name, intent] : domain.config.placement_intents) {
    intent.body.downtime_weight = *rc::gen::inRange(1, 20);
    intent.body.stranding_weight = *rc::gen::inRange(0, 10);
  }
  return domain;
}

// Loses, returns or restarts random VMs or changes whether they leave.
void ChangeRandomVms(SimulatedDomain* domain) {
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    auto vm = domain->vms.vms.begin();
    std::advance(vm, *rc::gen::inRange<std::size_t>(0, domain->vms.vms.size()));
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1:
        domain->Lose(vm->first);
        break;
      case 2:
        domain->Return(vm->first);
        break;
      case 3:
        domain->engines.engines.at(vm->first).status = EngineStatus();
        domain->engines.engines.at(vm->first).status.vm = vm->first;
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
  rc::prop("no violation in a check of each member", [] {
    SimulatedDomain domain = MakeRandomDomain();
    for (int round = 0; round < 40; ++round) {
      if (*rc::gen::inRange(0, 3) == 0) {
        ChangeRandomVms(&domain);
      }
      const PlacementPlan plan = PlanPlacement(domain.MakeInput());
      std::set<VmId> targets;
      for (const PlacementAction& action : plan.actions) {
        for (const VmId& vm : action.targets) {
          RC_ASSERT(targets.insert(vm).second);
        }
      }
      RC_ASSERT(domain.Execute(plan) == "");
      if (*rc::gen::arbitrary<bool>()) {
        domain.FinishLoads();
      }
      RC_ASSERT(FindBadGroup(domain) == "");
    }
  });
}

// Makes a domain in which all wanted replicas fit and some VMs remain spares.
SimulatedDomain MakeDomainWithSpares() {
  SimulatedDomain domain;
  AddService(&domain.config, "truelle-llm", *rc::gen::inRange(1, 8),
             *rc::gen::inRange(2, 5));
  AddService(&domain.config, "lm-pool", *rc::gen::inRange(1, 5),
             *rc::gen::element(1, 2, 8));
  const int racks = *rc::gen::inRange(1, 4);
  for (int i = 0; i < racks; ++i) {
    domain.AddRack("rack-" + std::to_string(i), 60 + *rc::gen::inRange(0, 10));
  }
  for (auto& [name, intent] : domain.config.placement_intents) {
    intent.body.downtime_weight = *rc::gen::inRange(1, 20);
    intent.body.stranding_weight = *rc::gen::inRange(0, 10);
  }
  return domain;
}

VmId PickVm(const SimulatedDomain& domain) {
  auto vm = domain.vms.vms.begin();
  std::advance(vm, *rc::gen::inRange<std::size_t>(0, domain.vms.vms.size()));
  return vm->first;
}

std::map<GroupId, EngineClaim> FindWhole(const SimulatedDomain& domain) {
  std::map<GroupId, EngineClaim> whole;
  for (const auto& [id, group] :
       DeriveGroups(domain.vms, domain.engines, domain.now - seconds(2))
           .groups) {
    if (group.state == GroupState::kWhole) {
      whole[id] = group.claim;
    }
  }
  return whole;
}

TEST_CASE("with spares every group is restored, with fewer loads than naive") {
  rc::prop("score, loads and whole groups", [] {
    SimulatedDomain planned = MakeDomainWithSpares();
    planned.RunUntilStable(PlanPlacement);
    RC_ASSERT(planned.Score() == 0);
    SimulatedDomain naive = planned;
    const int losses = *rc::gen::inRange(1, 4);
    for (int i = 0; i < losses; ++i) {
      const VmId vm = PickVm(planned);
      planned.Lose(vm);
      naive.Lose(vm);
    }
    planned.loads = 0;
    naive.loads = 0;
    planned.RunUntilStable(PlanPlacement);
    naive.RunUntilStable(PlanBaselinePlacement);
    RC_ASSERT(planned.Score() <= naive.Score());
    RC_ASSERT(planned.loads <= losses);
    RC_ASSERT(planned.loads <= naive.loads);
    RC_ASSERT(FindBadGroup(planned) == "");
  });
}

TEST_CASE("plans become empty even if there are too few VMs") {
  rc::prop("no repair increases the downtime score", [] {
    SimulatedDomain domain = MakeRandomDomain();
    domain.RunUntilStable(PlanPlacement);
    for (int round = 0; round < 4; ++round) {
      ChangeRandomVms(&domain);
      const double before = domain.Downtime();
      domain.RunUntilStable(PlanPlacement);
      RC_ASSERT(domain.Downtime() <= before);
      RC_ASSERT(FindBadGroup(domain) == "");
    }
  });
}

TEST_CASE("a returning VM disturbs no group that serves") {
  rc::prop("claims of whole groups stay", [] {
    SimulatedDomain domain = MakeRandomDomain();
    domain.RunUntilStable(PlanPlacement);
    const VmId vm = PickVm(domain);
    domain.Lose(vm);
    domain.RunUntilStable(PlanPlacement);
    const std::map<GroupId, EngineClaim> before = FindWhole(domain);
    for (const auto& [id, claim] : before) {
      domain.engines.engines.at(claim.members[0]).status.load.running = 1;
    }
    domain.Return(vm);
    domain.RunUntilStable(PlanPlacement);
    const std::map<GroupId, EngineClaim> after = FindWhole(domain);
    for (const auto& [id, claim] : before) {
      RC_ASSERT(after.count(id) == 1U);
      RC_ASSERT(after.at(id) == claim);
    }
  });
}

// Makes one rack without spares and two groups of two VMs, each with one lost.
SimulatedDomain MakeTwoIncompleteGroups(double first_weight,
                                        double second_weight) {
  SimulatedDomain domain;
  domain.AddRack("rack-0", 4);
  AddService(&domain.config, "truelle-llm", 1, 2);
  AddService(&domain.config, "lm-pool", 1, 2);
  domain.config.placement_intents.at(ObjectName("truelle-llm-intent"))
      .body.downtime_weight = first_weight;
  domain.config.placement_intents.at(ObjectName("lm-pool-intent"))
      .body.downtime_weight = second_weight;
  domain.RunUntilStable(PlanPlacement);
  std::set<GroupId> broken;
  for (const auto& [id, engine] : domain.engines.engines) {
    if (broken.insert(engine.status.claim.group).second) {
      domain.Lose(id);
    }
  }
  return domain;
}

bool Serves(const SimulatedDomain& domain, const std::string& service) {
  for (const auto& [id, group] :
       DeriveGroups(domain.vms, domain.engines, domain.now - seconds(2))
           .groups) {
    if (group.state == GroupState::kWhole &&
        group.claim.service.value == service) {
      return true;
    }
  }
  return false;
}

TEST_CASE("the least valuable incomplete group completes the most valuable") {
  SimulatedDomain domain = MakeTwoIncompleteGroups(10, 1);
  domain.RunUntilStable(PlanPlacement);
  REQUIRE(Serves(domain, "truelle-llm"));
  REQUIRE_FALSE(Serves(domain, "lm-pool"));
  SimulatedDomain reversed = MakeTwoIncompleteGroups(1, 10);
  reversed.RunUntilStable(PlanPlacement);
  REQUIRE(Serves(reversed, "lm-pool"));
}

TEST_CASE("an incomplete group waits for VMs that return soon") {
  SimulatedDomain domain = MakeTwoIncompleteGroups(10, 1);
  PlacementInput input = domain.MakeInput();
  for (const auto& [id, engine] : domain.engines.engines) {
    if (engine.observed_at < input.lost_before) {
      input.expected_return[id] = {domain.now + seconds(1), true};
    }
  }
  REQUIRE(PlanPlacement(input).actions.empty());
  for (auto& [id, back] : input.expected_return) {
    back.at = domain.now + seconds(600);
  }
  REQUIRE_FALSE(PlanPlacement(input).actions.empty());
}

TEST_CASE("a spare replaces a lost VM unless that returns sooner") {
  SimulatedDomain domain;
  domain.AddRack("rack-0", 3);
  AddService(&domain.config, "truelle-llm", 1, 2);
  domain.RunUntilStable(PlanPlacement);
  const VmId lost = FindWhole(domain).begin()->second.members[0];
  domain.Lose(lost);
  PlacementInput input = domain.MakeInput();
  // A spare loads for one second.
  input.expected_return[lost] = {domain.now + seconds(0), true};
  REQUIRE(PlanPlacement(input).actions.empty());
  input.expected_return[lost] = {domain.now + seconds(5), true};
  REQUIRE(PlanPlacement(input).actions.size() == 1);
  input.expected_return[lost] = {domain.now + seconds(0), false};
  REQUIRE(PlanPlacement(input).actions.size() == 1);
}

TEST_CASE("the weight store's rate goes to the most valuable group first") {
  SimulatedDomain domain;
  domain.AddRack("rack-0", 40);
  AddService(&domain.config, "truelle-llm", 1, 2);
  AddService(&domain.config, "lm-pool", 8, 4);
  for (auto& [name, service] : domain.config.model_services) {
    service.body.weights_bytes_per_vm = 10'000'000'000;
  }
  domain.config.placement_intents.at(ObjectName("truelle-llm-intent"))
      .body.downtime_weight = 100;
  const PlacementPlan plan = PlanPlacement(domain.MakeInput());
  REQUIRE(plan.actions.size() == 1);
  REQUIRE(plan.actions.front().claim.service.value == "truelle-llm");
}

TEST_CASE("small groups leave enough free VMs for large ones") {
  SimulatedDomain domain;
  domain.AddRack("rack-0", 40);
  domain.AddRack("rack-1", 40);
  AddService(&domain.config, "truelle-llm", 18, 2);
  AddService(&domain.config, "lm-pool", 1, 32);
  domain.config.placement_intents.at(ObjectName("truelle-llm-intent"))
      .body.downtime_weight = 100;
  domain.RunUntilStable(PlanPlacement);
  REQUIRE(Serves(domain, "lm-pool"));
  REQUIRE(domain.CountWhole() == 19);
}

TEST_CASE("two lease holders never assign the same epoch") {
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
