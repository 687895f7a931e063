// Placement plan under construction, with the VMs and load capacity left.
#ifndef CONTROL_PLACEMENT_DRAFT_H_
#define CONTROL_PLACEMENT_DRAFT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/placement_state.h"
#include "control/placement_types.h"

namespace kumquatcart {

// Collects actions, ensures that no VM is the target of two, and limits the
// loads outstanding at the weight store. Not thread safe.
class PlacementDraft {
 public:
  // Precondition: both outlive the draft.
  PlacementDraft(const PlacementInput& input, const PlacementState& state);

  const PlacementInput& Input() const { return this->input; }
  const PlacementState& State() const { return this->state; }

  // True when orders are limited to forming and repairing groups.
  bool IsRepairOnly() const {
    return this->input.scope == PlacementScope::kRepairFencedOnly;
  }

  // Returns the number of healthy VMs of a fabric domain that have enough
  // accelerators for the demand and that no group claims.
  int CountFree(const FabricDomainId& fabric,
                const PlacementDemand& demand) const;

  // Removes `count` such VMs from the free ones and returns them, those that
  // have the weights loaded first. Empty when there are fewer.
  std::optional<std::vector<std::size_t>> TakeFree(
      const FabricDomainId& fabric,
      const PlacementDemand& demand,
      int count);

  // Returns the time in which the store delivers `bytes` at its full rate.
  Duration LoadTime(std::int64_t bytes) const;

  // Adds `bytes` to the loads outstanding at the store. Returns false if they
  // exceed the load window; the first load of an idle store always fits.
  bool TakeLoad(std::int64_t bytes);

  // Adds an action for those of `targets` that may be ordered. Returns false
  // without adding it if there are none or, for kForm and kSwap, not all.
  bool Add(PlacementAction action, const std::vector<std::size_t>& targets);

  // Returns the actions in descending order of gain.
  PlacementPlan Finish();

 private:
  bool MayOrder(std::size_t vm) const;

  const PlacementInput& input;
  const PlacementState& state;
  std::int64_t bytes_per_second;
  std::int64_t outstanding_bytes = 0;
  std::vector<bool> ordered;  // By VM index: is the target of an action.
  std::map<FabricDomainId, std::vector<std::size_t>> free;
  PlacementPlan plan;
};

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_DRAFT_H_
