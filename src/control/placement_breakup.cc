#include "control/placement_breakup.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

#include "control/placement_upkeep.h"

namespace kumquatcart {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double GainPerVm(const PlacementNeed& need) {
  return need.gain / std::max(need.vms, 1);
}

const PlacementGroup& GroupOf(const PlacementNeed& need,
                              const PlacementDraft& draft) {
  return draft.State().groups[need.group];
}

// VMs that releasing the group frees for others.
int Survivors(const PlacementNeed& need, const PlacementDraft& draft) {
  const PlacementGroup& group = GroupOf(need, draft);
  return static_cast<int>(
      std::count_if(group.members.begin(), group.members.end(),
                    [&](const PlacementMember& member) {
                      return !member.lost && !member.leaving && member.agrees &&
                             draft.State().vms[member.vm].usable;
                    }));
}

// Score lost by loading the surviving members again later.
double BreakupCost(const PlacementNeed& donor, const PlacementDraft& draft) {
  const int reloaded = donor.demand->vm_count - donor.vms;
  return donor.gain *
         Seconds(draft.LoadTime(donor.demand->bytes_per_vm * reloaded));
}

// Score saved by completing the group now instead of waiting.
double CompletionBenefit(const PlacementNeed& recipient,
                         const PlacementDraft& draft) {
  const Duration wait =
      ExpectedCompletion(recipient, draft) - draft.Input().now;
  return recipient.gain * Seconds(wait - draft.LoadTime(recipient.LoadBytes()));
}

// Breaks up donors, least valuable first, for `needs` of one fabric domain in
// falling order of value.
void BreakUpInFabric(const std::vector<PlacementNeed>& needs,
                     PlacementDraft* draft) {
  std::size_t end = needs.size();  // Needs from here on are broken up.
  int spare = draft->CountFree(GroupOf(needs.front(), *draft).fabric,
                               *needs.front().demand);
  for (std::size_t i = 0; i < end; ++i) {
    const PlacementNeed& recipient = needs[i];
    std::size_t donors = end;
    int available = spare;
    double cost = 0;
    while (available < recipient.vms && donors > i + 1) {
      --donors;
      available += Survivors(needs[donors], *draft);
      cost += BreakupCost(needs[donors], *draft);
    }
    if (available < recipient.vms ||
        CompletionBenefit(recipient, *draft) <= cost) {
      continue;
    }
    for (std::size_t donor = donors; donor < end; ++donor) {
      ReleaseGroup(GroupOf(needs[donor], *draft),
                   "broken up to complete " +
                       GroupOf(recipient, *draft).claim.group.value,
                   draft);
    }
    end = donors;
    spare = available - recipient.vms;
  }
}

}  // namespace

MonotonicTime ExpectedCompletion(const PlacementNeed& need,
                                 const PlacementDraft& draft) {
  const PlacementInput& input = draft.Input();
  const PlacementGroup& group = GroupOf(need, draft);
  MonotonicTime latest = input.now;
  for (std::size_t i = 0; i < group.members.size(); ++i) {
    const PlacementMember& member = group.members[i];
    if (!member.lost && !member.leaving) {
      continue;
    }
    const auto back = input.expected_return.find(group.claim.members[i]);
    if (back == input.expected_return.end()) {
      latest = std::max(latest, input.now + input.limits.repair_time);
      continue;
    }
    const Duration load = back->second.keeps_weights
                              ? Duration(0)
                              : draft.LoadTime(need.demand->bytes_per_vm);
    latest = std::max(latest, back->second.at + load);
  }
  return latest;
}

void BreakUpGroups(const std::vector<PlacementNeed>& stuck,
                   PlacementDraft* draft) {
  std::map<FabricDomainId, std::vector<PlacementNeed>> by_fabric;
  for (const PlacementNeed& need : stuck) {
    by_fabric[GroupOf(need, *draft).fabric].push_back(need);
  }
  for (auto& [fabric, needs] : by_fabric) {
    std::stable_sort(needs.begin(), needs.end(),
                     [](const PlacementNeed& left, const PlacementNeed& right) {
                       return GainPerVm(left) > GainPerVm(right);
                     });
    BreakUpInFabric(needs, draft);
  }
}

}  // namespace kumquatcart
