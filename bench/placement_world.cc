#include "placement_world.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "control/placement_score.h"
#include "control/placement_state.h"

namespace kumquatcart {

namespace {

constexpr int kMaxPlansPerStep = 200;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string WeightsOf(const EngineClaim& claim) {
  return claim.service.value + "/" + claim.version;
}

}  // namespace

PlacementWorld::PlacementWorld(FailureDomainId home,
                               ConfigView config,
                               VmTable vms,
                               PlacementPlanner planner,
                               WorldTerms terms)
    : home(std::move(home)),
      config(std::move(config)),
      vms(std::move(vms)),
      planner(planner),
      terms(terms),
      now(std::chrono::hours(24)),
      start(now) {
  for (const auto& [id, vm] : this->vms.vms) {
    this->engines.engines[id].status.vm = id;
  }
}

void PlacementWorld::Prepare() {
  this->instant_loads = true;
  this->HearAll();
  for (int round = 0; round < kMaxPlansPerStep && this->PlanOnce(); ++round) {
    this->MoveOn(this->terms.step);
    this->HearAll();
  }
  this->instant_loads = false;
  this->cost = WorldCost();
  this->start = this->now;
}

WorldCost PlacementWorld::Run(const std::vector<FailureEvent>& events,
                              Duration end) {
  std::size_t next = 0;
  this->changed = true;
  MonotonicTime notice_until = this->start;
  while (this->now < this->start + end) {
    while (next < events.size() && this->start + events[next].at <= this->now) {
      this->Apply(events[next++]);
      notice_until = this->now + this->terms.lost_after + this->terms.step;
      this->changed = true;
    }
    this->HearAll();
    if (this->changed || this->now <= notice_until) {
      this->changed = false;
      this->PlanOnce();
      this->Assess();
    }
    const bool quiet =
        !this->changed && !this->IsBusy() && this->now > notice_until;
    Duration passed = this->terms.step;
    if (quiet) {
      const Duration until =
          next < events.size() ? events[next].at : Duration(end);
      passed = std::max(passed, this->start + until - this->now);
    }
    passed = std::min(passed, this->start + end - this->now);
    this->Account(passed);
    this->MoveOn(passed);
  }
  return this->cost;
}

void PlacementWorld::Apply(const FailureEvent& event) {
  Vm& vm = this->vms.vms.at(event.vm);
  EngineObservation& engine = this->engines.engines.at(event.vm);
  switch (event.kind) {
    case FailureKind::kNotice:
      vm.state = VmState::kLeaving;
      break;
    case FailureKind::kLose:
      this->silent[event.vm] = true;
      break;
    case FailureKind::kReturn:
      vm.state = VmState::kLive;
      engine.status = EngineStatus();
      engine.status.vm = event.vm;
      this->load_left.erase(event.vm);
      this->silent.erase(event.vm);
      break;
    case FailureKind::kResume:
      this->silent.erase(event.vm);
      break;
  }
}

void PlacementWorld::HearAll() {
  for (auto& [id, engine] : this->engines.engines) {
    if (this->silent.count(id) == 0) {
      engine.observed_at = this->now;
    }
  }
}

PlacementInput PlacementWorld::MakeInput() const {
  PlacementInput input(this->home, this->config, this->vms, this->engines);
  input.store.bytes_per_second = this->terms.store_bytes_per_second;
  input.now = this->now;
  input.lost_before = this->now - this->terms.lost_after;
  input.fence = 1;
  input.draining_since = this->draining_since;
  return input;
}

bool PlacementWorld::PlanOnce() {
  const PlacementInput input = this->MakeInput();
  const auto before = std::chrono::steady_clock::now();
  const PlacementPlan plan = this->planner(input);
  this->cost.plan_ms.push_back(std::chrono::duration<double, std::milli>(
                                   std::chrono::steady_clock::now() - before)
                                   .count());
  for (const PlacementAction& action : plan.actions) {
    this->Obey(action);
  }
  return !plan.actions.empty();
}

void PlacementWorld::Obey(const PlacementAction& action) {
  EngineClaim claim = action.claim;
  if (claim.group.IsEmpty()) {
    claim.group = GroupId("g" + std::to_string(++this->last_group));
  }
  this->changed = true;
  for (const VmId& vm : action.targets) {
    ++this->cost.orders;
    this->ObeyOne(vm, claim, action.kind);
  }
}

void PlacementWorld::ObeyOne(const VmId& vm,
                             const EngineClaim& claim,
                             PlacementActionKind kind) {
  EngineStatus& status = this->engines.engines.at(vm).status;
  if (this->silent.count(vm) > 0) {
    return;
  }
  switch (kind) {
    case PlacementActionKind::kForm:
    case PlacementActionKind::kSwap:
    case PlacementActionKind::kReclaim:
      if (status.loaded_version != WeightsOf(claim) &&
          this->load_left.count(vm) == 0) {
        const ModelService& service =
            this->config.model_services.at(ObjectName(claim.service.value))
                .body;
        this->load_left[vm] = static_cast<double>(service.weights_bytes_per_vm);
        ++this->cost.loads;
      }
      status.claim = claim;
      status.state = EngineState::kLoading;
      status.load.running = 0;
      break;
    case PlacementActionKind::kServe:
      status.state = EngineState::kReady;
      status.load.running = 1;
      break;
    case PlacementActionKind::kDrain:
      status.state = EngineState::kDraining;
      this->draining_since.emplace(claim.group, this->now);
      break;
    case PlacementActionKind::kRelease:
      // Weights of a past group are not kept, for either planner.
      status.claim = EngineClaim();
      status.state = EngineState::kEmpty;
      status.load.running = 0;
      status.loaded_version.clear();
      this->load_left.erase(vm);
      break;
    case PlacementActionKind::kSetRole:
      status.claim.role = claim.role;
      break;
  }
}

void PlacementWorld::MoveOn(Duration passed) {
  this->now += passed;
  this->FinishLoads(passed);
  this->FinishDrains();
}

void PlacementWorld::FinishLoads(Duration passed) {
  if (this->load_left.empty()) {
    return;
  }
  const double share = static_cast<double>(this->terms.store_bytes_per_second) /
                       static_cast<double>(this->load_left.size());
  const double rate =
      std::min(share, static_cast<double>(this->terms.vm_bytes_per_second));
  for (auto load = this->load_left.begin(); load != this->load_left.end();) {
    load->second -= rate * Seconds(passed);
    if (load->second > 0 && !this->instant_loads) {
      ++load;
      continue;
    }
    EngineStatus& status = this->engines.engines.at(load->first).status;
    status.loaded_version = WeightsOf(status.claim);
    this->changed = true;
    load = this->load_left.erase(load);
  }
}

void PlacementWorld::FinishDrains() {
  for (auto group = this->draining_since.begin();
       group != this->draining_since.end();) {
    bool drains = false;
    for (auto& [id, engine] : this->engines.engines) {
      EngineStatus& status = engine.status;
      if (status.claim.group != group->first ||
          status.state != EngineState::kDraining) {
        continue;
      }
      drains = true;
      if (this->now >= group->second + this->terms.drain_time) {
        this->changed = this->changed || status.load.running > 0;
        status.load.running = 0;
      }
    }
    group = drains ? std::next(group) : this->draining_since.erase(group);
  }
}

bool PlacementWorld::IsBusy() const {
  return !this->load_left.empty() || !this->draining_since.empty();
}

void PlacementWorld::Assess() {
  const PlacementState state = BuildPlacementState(this->MakeInput());
  const PlacementScore score = ScorePlacement(state);
  this->missing = 0;
  int wanted = 0;
  for (std::size_t i = 0; i < state.demands.size(); ++i) {
    this->missing += score.services[i].missing_replicas;
    wanted += state.demands[i].replicas;
  }
  this->unavoidable = std::max(0, wanted - CountFeasible(state));
  this->idle_accelerators = score.idle_accelerators;
}

void PlacementWorld::Account(Duration passed) {
  const double seconds = Seconds(passed);
  this->cost.downtime_seconds += this->missing * seconds;
  this->cost.unavoidable_seconds += this->unavoidable * seconds;
  this->cost.stranded_accelerator_seconds += this->idle_accelerators * seconds;
}

int PlacementWorld::CountFeasible(const PlacementState& state) {
  int healthy = 0;
  for (const PlacementVm& vm : state.vms) {
    healthy += vm.IsHealthy() ? 1 : 0;
  }
  std::vector<const PlacementDemand*> smallest_first;
  for (const PlacementDemand& demand : state.demands) {
    smallest_first.push_back(&demand);
  }
  std::sort(smallest_first.begin(), smallest_first.end(),
            [](const PlacementDemand* left, const PlacementDemand* right) {
              return left->vm_count < right->vm_count;
            });
  int feasible = 0;
  for (const PlacementDemand* demand : smallest_first) {
    const int fits = std::min(demand->replicas, healthy / demand->vm_count);
    feasible += fits;
    healthy -= fits * demand->vm_count;
  }
  return feasible;
}

}  // namespace kumquatcart
