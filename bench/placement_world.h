// One failure domain under a paused clock, driven by a list of failures.
//
// Only what decides downtime and stranding is modelled: who is lost, who holds
// which claim, how long weights take. No processes, network or leases.
#ifndef BENCH_PLACEMENT_WORLD_H_
#define BENCH_PLACEMENT_WORLD_H_

#include <cstdint>
#include <map>
#include <vector>

#include "control/placement_state.h"
#include "control/placement_types.h"

namespace kumquatcart {

using PlacementPlanner = PlacementPlan (*)(const PlacementInput& input);

enum class FailureKind {
  kNotice,  // The VM is listed as leaving.
  kLose,    // The VM falls silent.
  kReturn,  // It is back, empty.
  kResume,  // It is back as it was.
};

// One entry of the list of failures.
struct FailureEvent {
  Duration at{0};
  FailureKind kind = FailureKind::kLose;
  VmId vm;

  auto Tie() const { return std::tie(this->at, this->kind, this->vm); }
};

// Speeds of the modelled parts.
struct WorldTerms {
  std::int64_t store_bytes_per_second = 1'000'000'000;  // One failure domain.
  std::int64_t vm_bytes_per_second = 1'000'000'000;
  Duration lost_after = std::chrono::seconds(2);
  Duration drain_time = std::chrono::seconds(15);
  Duration step = std::chrono::milliseconds(500);
};

// What one run cost.
struct WorldCost {
  double downtime_seconds = 0;  // Missing replicas times time.
  // Part of it that no placement could avoid, for want of healthy VMs.
  double unavoidable_seconds = 0;
  double stranded_accelerator_seconds = 0;
  int loads = 0;
  int orders = 0;
  std::vector<double> plan_ms;
};

// Runs one planner over a list of failures.
class PlacementWorld {
 public:
  PlacementWorld(FailureDomainId home,
                 ConfigView config,
                 VmTable vms,
                 PlacementPlanner planner,
                 WorldTerms terms);

  // Forms every group with loads that take no time. Costs nothing.
  void Prepare();

  // Runs to `end` through `events`, which are in order of time.
  WorldCost Run(const std::vector<FailureEvent>& events, Duration end);

 private:
  void Apply(const FailureEvent& event);
  void HearAll();
  PlacementInput MakeInput() const;
  bool PlanOnce();
  void Obey(const PlacementAction& action);
  void ObeyOne(const VmId& vm,
               const EngineClaim& claim,
               PlacementActionKind kind);
  void MoveOn(Duration passed);
  void FinishLoads(Duration passed);
  void FinishDrains();
  bool IsBusy() const;
  void Assess();
  void Account(Duration passed);
  static int CountFeasible(const PlacementState& state);

  const FailureDomainId home;
  const ConfigView config;
  VmTable vms;
  EngineTable engines;
  const PlacementPlanner planner;
  const WorldTerms terms;
  MonotonicTime now;
  MonotonicTime start;
  std::map<VmId, bool> silent;
  std::map<VmId, double> load_left;  // Bytes.
  std::map<GroupId, MonotonicTime> draining_since;
  int last_group = 0;
  bool instant_loads = false;
  bool changed = true;  // Since the last plan.
  // Of the present state.
  int missing = 0;
  int unavoidable = 0;
  int idle_accelerators = 0;
  WorldCost cost;
};

}  // namespace kumquatcart

#endif  // BENCH_PLACEMENT_WORLD_H_
