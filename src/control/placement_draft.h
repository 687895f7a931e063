// A plan while it is being made: what is still free and what was decided.
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

// Collects actions, keeps any VM from being ordered twice, and shares the
// weight store's rate out. Not thread safe.
class PlacementDraft {
 public:
  // Precondition: both outlive the draft.
  PlacementDraft(const PlacementInput& input, const PlacementState& state);

  const PlacementInput& Input() const { return this->input; }
  const PlacementState& State() const { return this->state; }

  // True when orders are limited to making groups whole.
  bool IsRepairOnly() const {
    return this->input.scope == PlacementScope::kRepairFencedOnly;
  }

  // Empty, healthy VMs of a fabric domain that suit the demand and that no
  // group claims.
  int CountFree(const FabricDomainId& fabric,
                const PlacementDemand& demand) const;

  // Takes `count` such VMs, those that hold the weights first. Nothing when
  // there are fewer.
  std::optional<std::vector<std::size_t>> TakeFree(
      const FabricDomainId& fabric,
      const PlacementDemand& demand,
      int count);

  // Time in which the store delivers `bytes` at its full rate.
  Duration LoadTime(std::int64_t bytes) const;

  // Counts `bytes` as outstanding at the store. False when the window is full;
  // the first load of an idle store always fits.
  bool TakeLoad(std::int64_t bytes);

  // Adds an action on the usable ones of `targets`, unless none is left or, for
  // claims, any is missing.
  bool Add(PlacementAction action, const std::vector<std::size_t>& targets);

  // The actions, most valuable first.
  PlacementPlan Finish();

 private:
  bool MayOrder(std::size_t vm) const;

  const PlacementInput& input;
  const PlacementState& state;
  std::int64_t bytes_per_second;
  std::int64_t outstanding_bytes = 0;
  std::vector<bool> ordered;  // By VM index: target of an action already.
  std::map<FabricDomainId, std::vector<std::size_t>> free;
  PlacementPlan plan;
};

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_DRAFT_H_
