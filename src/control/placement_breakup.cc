#include "control/placement_breakup.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "control/placement_maintenance.h"

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

// Returns the number of VMs that releasing the group makes available.
int CountReusableVms(const PlacementNeed& need, const PlacementDraft& draft) {
  const PlacementGroup& group = GroupOf(need, draft);
  return static_cast<int>(std::count_if(
      group.members.begin(), group.members.end(),
      [&](const PlacementMember& member) {
        return !member.lost && !member.leaving && member.confirms &&
               draft.State().vms[member.vm].usable;
      }));
}

// Returns the score that it costs to load the remaining members again later.
double BreakupCost(const PlacementNeed& donor, const PlacementDraft& draft) {
  const int reloaded = donor.demand->vm_count - donor.vms;
  return donor.gain *
         Seconds(draft.LoadTime(donor.demand->bytes_per_vm * reloaded));
}

// Returns the score saved by completing or forming the group now instead of
// waiting for VMs to return.
double CompletionBenefit(const PlacementNeed& recipient,
                         const PlacementDraft& draft) {
  const Duration wait =
      recipient.group == kNewGroup
          ? draft.Input().limits.repair_time
          : ExpectedCompletion(recipient, draft) - draft.Input().now;
  return recipient.gain * Seconds(wait - draft.LoadTime(recipient.LoadBytes()));
}

// Incomplete groups of one fabric domain in descending order of gain per VM.
// Groups are broken up from the end of the list.
class FabricDonors {
 public:
  FabricDonors(std::vector<PlacementNeed> needs, PlacementDraft* draft)
      : needs(std::move(needs)), end(this->needs.size()), draft(draft) {
    std::stable_sort(this->needs.begin(), this->needs.end(),
                     [](const PlacementNeed& left, const PlacementNeed& right) {
                       return GainPerVm(left) > GainPerVm(right);
                     });
  }

  // Completes the most valuable groups with VMs of the least valuable ones.
  void CompleteMostValuable() {
    for (; this->first < this->end; ++this->first) {
      if (!this->BreakUpFor(this->needs[this->first], this->first + 1)) {
        break;
      }
    }
  }

  // Breaks up as many groups as `recipient` needs, starting with the last one
  // and none before `first_donor`. Returns false, without releasing any, if
  // their VMs do not suffice or the benefit does not exceed the cost.
  bool BreakUpFor(const PlacementNeed& recipient, std::size_t first_donor) {
    int available = this->left_over + this->CountFree(*recipient.demand);
    std::size_t donor = this->end;
    double cost = 0;
    while (available < recipient.vms && donor > first_donor) {
      --donor;
      available += CountReusableVms(this->needs[donor], *this->draft);
      cost += BreakupCost(this->needs[donor], *this->draft);
    }
    if (available < recipient.vms ||
        CompletionBenefit(recipient, *this->draft) <= cost) {
      return false;
    }
    for (std::size_t i = donor; i < this->end; ++i) {
      ReleaseGroup(
          GroupOf(this->needs[i], *this->draft),
          "broken up for a group of " + recipient.demand->service.value,
          this->draft);
    }
    this->end = donor;
    this->left_over =
        available - recipient.vms - this->CountFree(*recipient.demand);
    return true;
  }

  bool BreakUpFor(const PlacementNeed& recipient) {
    return this->BreakUpFor(recipient, this->first);
  }

 private:
  int CountFree(const PlacementDemand& demand) const {
    if (this->needs.empty()) {
      return 0;
    }
    return this->draft->CountFree(GroupOf(this->needs[0], *this->draft).fabric,
                                  demand);
  }

  std::vector<PlacementNeed> needs;
  std::size_t first = 0;  // Groups before this one are completed.
  std::size_t end;        // Groups from this one on are broken up.
  int left_over = 0;      // Freed VMs not yet used, less free VMs used.
  PlacementDraft* draft;
};

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

void BreakUpGroups(const std::vector<PlacementNeed>& incomplete,
                   const std::vector<PlacementNeed>& missing,
                   PlacementDraft* draft) {
  std::map<FabricDomainId, std::vector<PlacementNeed>> by_fabric;
  for (const PlacementNeed& need : incomplete) {
    by_fabric[GroupOf(need, *draft).fabric].push_back(need);
  }
  std::vector<FabricDonors> fabrics;
  for (auto& [fabric, needs] : by_fabric) {
    fabrics.emplace_back(std::move(needs), draft);
    fabrics.back().CompleteMostValuable();
  }
  for (const PlacementNeed& need : missing) {
    if (need.is_surge) {
      continue;
    }
    std::any_of(fabrics.begin(), fabrics.end(),
                [&](FabricDonors& donors) { return donors.BreakUpFor(need); });
  }
}

}  // namespace kumquatcart
