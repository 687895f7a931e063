// Input and output of the placement decision.
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

// Limits of the placement decision.
struct PlacementLimits {
  // Work that loads of one failure domain may have outstanding at the weight
  // store, as time at the store's full rate. Shorter queues let the most
  // valuable group finish first.
  Duration load_window = std::chrono::seconds(20);
  // Used while the store does not say its rate.
  std::int64_t assumed_bytes_per_second = 1'000'000'000;
  // Part of a model service's replicas that a rollout replaces at once.
  double rollout_part = 0.0625;
  // Time that streams of a draining group are expected to need.
  Duration drain_estimate = std::chrono::seconds(20);
  // Unplanned losses per VM and day, and how long a lost VM stays away.
  double failures_per_vm_day = 0.002;
  Duration repair_time = std::chrono::hours(2);
  // Accepted probability that a fabric domain lacks a spare.
  double spare_shortage_probability = 0.01;

  auto Tie() const {
    return std::tie(this->load_window, this->assumed_bytes_per_second,
                    this->rollout_part, this->drain_estimate,
                    this->failures_per_vm_day, this->repair_time,
                    this->spare_shortage_probability);
  }
};

// What may be ordered at present.
enum class PlacementScope {
  kEverything,
  // Only engines that refuse old fencing numbers, and only what makes groups
  // whole: no breaking up, no retirement, no role change.
  kRepairFencedOnly,
};

// When a lost VM should be back.
struct ExpectedReturn {
  MonotonicTime at;
  bool keeps_weights = false;  // Comes back with its claim and weights.

  auto Tie() const { return std::tie(this->at, this->keeps_weights); }
};

// Everything that a plan for one failure domain is made from. The references
// outlive the input.
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
  // A VM last heard before this is lost.
  MonotonicTime lost_before;
  // An engine that ignores fencing numbers is used only when heard after this.
  MonotonicTime unfenced_heard_after;
  FencingNumber fence = 0;
  PlacementScope scope = PlacementScope::kEverything;
  // Lost VMs whose return can be foretold.
  std::map<VmId, ExpectedReturn> expected_return;
  // Since when each draining group was seen to drain.
  std::map<GroupId, MonotonicTime> draining_since;
  // VMs whose last order has an unknown effect.
  std::map<VmId, MonotonicTime> unsettled_until;
  PlacementLimits limits;
};

enum class PlacementActionKind {
  kForm,     // Claim every member for a new group. The group id is empty.
  kSwap,     // Claim every member for the same group at a higher epoch.
  kReclaim,  // Repeat a claim that some members lack.
  kServe,
  kDrain,
  kRelease,
  kSetRole,
};
const char* ToString(PlacementActionKind kind);

// One step, carried out by orders to `targets`.
struct PlacementAction {
  PlacementActionKind kind = PlacementActionKind::kForm;
  EngineClaim claim;  // As the orders carry it.
  std::vector<VmId> targets;
  // Decrease of the weighted score per second once the step bears fruit.
  double gain = 0;
  std::string reason;

  auto Tie() const {
    return std::tie(this->kind, this->claim, this->targets, this->gain,
                    this->reason);
  }
};

// Steps to take now, most valuable first. No VM is the target of two.
struct PlacementPlan {
  std::vector<PlacementAction> actions;

  auto Tie() const { return std::tie(this->actions); }
};

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_TYPES_H_
