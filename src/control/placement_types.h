// Input and output of the placement planner.
#ifndef CONTROL_PLACEMENT_TYPES_H_
#define CONTROL_PLACEMENT_TYPES_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/ids.h"
#include "model/config_view.h"
#include "model/engine.h"
#include "model/vm.h"
#include "platform/weight_store.h"

namespace kumquatcart {

// Limits and estimates that placement plans use.
struct PlacementLimits {
  // Limit on the loads of one failure domain outstanding at the weight store,
  // as time at the store's full rate. A short queue lets the most valuable
  // group finish first.
  Duration load_window = std::chrono::seconds(20);
  // Used while the rate of the store is unknown.
  std::int64_t assumed_bytes_per_second = 1'000'000'000;
  // Fraction of the replicas of a model service that a rollout replaces at
  // once.
  double rollout_fraction = 0.0625;
  // Expected time until the streams of a draining group end.
  Duration drain_estimate = std::chrono::seconds(20);
  // Unplanned losses per VM and day, and time until a lost VM returns.
  double failures_per_vm_day = 0.002;
  Duration repair_time = std::chrono::hours(2);
  // Accepted probability that a fabric domain lacks a spare.
  double spare_shortage_probability = 0.01;

  auto Tie() const {
    return std::tie(this->load_window, this->assumed_bytes_per_second,
                    this->rollout_fraction, this->drain_estimate,
                    this->failures_per_vm_day, this->repair_time,
                    this->spare_shortage_probability);
  }
};

// Orders that a plan may contain.
enum class PlacementScope {
  kEverything,
  // Only orders to engines that reject old fencing numbers, and only to form
  // and repair groups: no break-up, retirement or role change.
  kRepairFencedOnly,
};

// Estimated return of a lost VM.
struct ExpectedReturn {
  MonotonicTime at;
  bool keeps_weights = false;  // Returns with its claim and weights.

  auto Tie() const { return std::tie(this->at, this->keeps_weights); }
};

// Input of the plan for one failure domain. Precondition: the referents outlive
// the input.
struct PlacementInput {
  PlacementInput(FailureDomainId failure_domain,
                 const ConfigView& config,
                 const VmTable& vms,
                 const EngineTable& engines)
      : failure_domain(std::move(failure_domain)),
        config(config),
        vms(vms),
        engines(engines) {}

  FailureDomainId failure_domain;
  const ConfigView& config;
  const VmTable& vms;
  const EngineTable& engines;
  WeightStoreStatus store;
  MonotonicTime now;
  // A VM whose last status is older than this is lost.
  MonotonicTime lost_before;
  // An engine that does not enforce fencing numbers is used only if its last
  // status is not older than this.
  MonotonicTime unfenced_observed_after;
  FencingNumber fence = 0;
  PlacementScope scope = PlacementScope::kEverything;
  // Lost VMs whose return can be estimated.
  std::map<VmId, ExpectedReturn> expected_return;
  // Time at which each draining group was first observed to drain.
  std::map<GroupId, MonotonicTime> draining_since;
  // VMs whose last order has an unknown outcome, and the time until which it
  // may still take effect.
  std::map<VmId, MonotonicTime> outcome_unknown_until;
  PlacementLimits limits;
};

enum class PlacementActionKind {
  kForm,     // Claims every member for a new group. The group id is empty.
  kSwap,     // Claims every member for the same group at a higher epoch.
  kReclaim,  // Resends a claim that some members lack.
  kServe,
  kDrain,
  kRelease,
  kSetRole,
};
const char* ToString(PlacementActionKind kind);

// One action, executed by orders to `targets`.
struct PlacementAction {
  PlacementActionKind kind = PlacementActionKind::kForm;
  EngineClaim claim;  // Sent in the orders.
  std::vector<VmId> targets;
  // Decrease of the weighted score per second once the action is complete.
  double gain = 0;
  std::string reason;

  auto Tie() const {
    return std::tie(this->kind, this->claim, this->targets, this->gain,
                    this->reason);
  }
};

// Actions to execute now, in descending order of gain. No VM is the target of
// two actions.
struct PlacementPlan {
  std::vector<PlacementAction> actions;

  auto Tie() const { return std::tie(this->actions); }
};

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_TYPES_H_
