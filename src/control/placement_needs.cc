#include "control/placement_needs.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "control/placement_breakup.h"
#include "control/spare_reserve.h"

namespace kumquatcart {

namespace {

// Bits of an epoch below the fencing number.
constexpr int kEpochCounterBits = 20;

enum class NeedResult {
  kMet,        // An action was added.
  kDeferred,   // Waits for a VM to return or for the weight store.
  kNoFreeVms,  // The fabric domain has too few free VMs.
};

bool HasHigherGainPerByte(const PlacementNeed& left,
                          const PlacementNeed& right) {
  const auto cost = [](const PlacementNeed& need) {
    return static_cast<double>(std::max<std::int64_t>(need.LoadBytes(), 1));
  };
  return left.gain * cost(right) > right.gain * cost(left);
}

// True when every lost member is expected to return with its weights before a
// spare could load them.
bool IsReturnSooner(const PlacementNeed& need, const PlacementDraft& draft) {
  const PlacementInput& input = draft.Input();
  const PlacementGroup& group = draft.State().groups[need.group];
  const MonotonicTime swapped = input.now + draft.LoadTime(need.LoadBytes());
  for (std::size_t i = 0; i < group.members.size(); ++i) {
    if (group.members[i].leaving && !group.members[i].lost) {
      return false;
    }
    if (!group.members[i].lost) {
      continue;
    }
    const auto back = input.expected_return.find(group.claim.members[i]);
    if (back == input.expected_return.end() || !back->second.keeps_weights ||
        back->second.at > swapped || back->second.at < input.now) {
      return false;
    }
  }
  return true;
}

NeedResult Swap(const PlacementNeed& need, PlacementDraft* draft) {
  const PlacementState& state = draft->State();
  const PlacementGroup& group = state.groups[need.group];
  if (IsReturnSooner(need, *draft)) {
    return NeedResult::kDeferred;
  }
  if (draft->CountFree(group.fabric, *need.demand) < need.vms) {
    return NeedResult::kNoFreeVms;
  }
  if (!draft->TakeLoad(need.LoadBytes())) {
    return NeedResult::kDeferred;
  }
  const std::optional<std::vector<std::size_t>> spares =
      draft->TakeFree(group.fabric, *need.demand, need.vms);
  PlacementAction action;
  action.kind = PlacementActionKind::kSwap;
  action.claim = group.claim;
  action.claim.epoch = NextEpoch(group.claim.epoch, draft->Input().fence);
  action.gain = need.gain;
  action.reason = "members lost or leaving: " + std::to_string(need.vms);
  std::vector<std::size_t> targets;
  std::size_t next_spare = 0;
  for (std::size_t i = 0; i < group.members.size(); ++i) {
    const PlacementMember& member = group.members[i];
    const bool replace = member.lost || member.leaving;
    const std::size_t vm = replace ? (*spares)[next_spare++] : member.vm;
    action.claim.members[i] = state.vms[vm].id;
    targets.push_back(vm);
  }
  draft->Add(std::move(action), targets);
  return NeedResult::kMet;
}

// Free VMs for one demand by fabric domain.
using FreeCounts = std::map<FabricDomainId, int>;

FreeCounts CountFree(const PlacementDemand& demand,
                     const PlacementDraft& draft) {
  FreeCounts counts;
  for (const auto& [fabric, vms] : draft.State().vms_by_fabric) {
    counts[fabric] = draft.CountFree(fabric, demand);
  }
  return counts;
}

// Returns the fabric domain that keeps the most spares beyond its reserve after
// the new group is formed in it.
std::optional<FabricDomainId> ChooseFabric(const PlacementNeed& need,
                                           const FreeCounts& counts,
                                           const PlacementDraft& draft) {
  std::optional<FabricDomainId> best;
  int best_left = 0;
  for (const auto& [fabric, free] : counts) {
    const std::size_t vm_count = draft.State().vms_by_fabric.at(fabric).size();
    const int reserve = std::max(
        need.demand->spares_per_fabric,
        SpareReserve(static_cast<int>(vm_count), draft.Input().limits));
    const int left = free - need.vms - reserve;
    if (free < need.vms || (need.is_surge && left < 0)) {
      continue;
    }
    if (!best.has_value() || left > best_left) {
      best = fabric;
      best_left = left;
    }
  }
  return best;
}

// A new group and the VMs reserved for it.
struct Reservation {
  PlacementNeed need;
  std::vector<std::size_t> vms;
};

// Reserves VMs for a new group. Empty when no fabric domain has enough.
std::optional<Reservation> Reserve(const PlacementNeed& need,
                                   PlacementDraft* draft) {
  const std::optional<FabricDomainId> fabric =
      ChooseFabric(need, CountFree(*need.demand, *draft), *draft);
  if (!fabric.has_value()) {
    return std::nullopt;
  }
  return Reservation{need, *draft->TakeFree(*fabric, *need.demand, need.vms)};
}

// Forms the new group unless loads of more valuable groups fill the weight
// store's load window. Its VMs stay reserved in this plan in either case.
void Form(const Reservation& reservation, PlacementDraft* draft) {
  const PlacementNeed& need = reservation.need;
  if (!draft->TakeLoad(need.LoadBytes())) {
    return;
  }
  PlacementAction action;
  action.kind = PlacementActionKind::kForm;
  action.claim.epoch = NextEpoch(0, draft->Input().fence);
  action.claim.service = need.demand->service;
  action.claim.version = need.demand->version;
  action.claim.role = need.demand->role;
  action.gain = need.gain;
  action.reason = need.is_surge ? "successor of a group that still serves"
                                : "a replica is missing";
  for (const std::size_t vm : reservation.vms) {
    action.claim.members.push_back(draft->State().vms[vm].id);
  }
  draft->Add(std::move(action), reservation.vms);
}

// Returns the total gain of the new groups that find VMs when they are placed
// in the given order.
double SumPlaceableGain(const std::vector<PlacementNeed>& order,
                        const PlacementDraft& draft) {
  std::map<int, FreeCounts> counts_by_size;
  for (const PlacementNeed& need : order) {
    const int size = need.demand->accelerators_per_vm;
    if (counts_by_size.count(size) == 0) {
      counts_by_size[size] = CountFree(*need.demand, draft);
    }
  }
  double gain = 0;
  for (const PlacementNeed& need : order) {
    const std::optional<FabricDomainId> fabric = ChooseFabric(
        need, counts_by_size[need.demand->accelerators_per_vm], draft);
    if (!fabric.has_value()) {
      continue;
    }
    gain += need.gain;
    for (auto& [size, counts] : counts_by_size) {
      counts[*fabric] -= need.vms;
    }
  }
  return gain;
}

// Reserves VMs for new groups. Small groups spread over every fabric domain
// would leave too few VMs for large ones, so the largest are placed first
// unless that gains less. Returns the needs that got no VMs.
std::vector<PlacementNeed> ReserveAll(std::vector<PlacementNeed> needs,
                                      std::vector<Reservation>* reservations,
                                      PlacementDraft* draft) {
  std::vector<PlacementNeed> largest_first = needs;
  std::stable_sort(largest_first.begin(), largest_first.end(),
                   [](const PlacementNeed& left, const PlacementNeed& right) {
                     return left.vms > right.vms;
                   });
  if (SumPlaceableGain(largest_first, *draft) >=
      SumPlaceableGain(needs, *draft)) {
    needs = std::move(largest_first);
  }
  std::vector<PlacementNeed> without_vms;
  for (const PlacementNeed& need : needs) {
    std::optional<Reservation> reservation = Reserve(need, draft);
    if (reservation.has_value()) {
      reservations->push_back(*std::move(reservation));
    } else {
      without_vms.push_back(need);
    }
  }
  return without_vms;
}

// Replaces a group that has no spares by a new one in another fabric domain if
// the new one serves before the lost VMs are expected back.
bool FormInOtherFabric(const PlacementNeed& need, PlacementDraft* draft) {
  const PlacementNeed successor = MakeFormNeed(*need.demand, false);
  const MonotonicTime formed =
      draft->Input().now + draft->LoadTime(successor.LoadBytes());
  if (formed >= ExpectedCompletion(need, *draft)) {
    return false;
  }
  const std::optional<Reservation> reservation = Reserve(successor, draft);
  if (!reservation.has_value()) {
    return false;
  }
  Form(*reservation, draft);
  return true;
}

}  // namespace

GroupEpoch NextEpoch(GroupEpoch previous, FencingNumber fence) {
  return std::max(previous + 1, fence << kEpochCounterBits);
}

PlacementNeed MakeFormNeed(const PlacementDemand& demand, bool is_surge) {
  PlacementNeed need;
  need.demand = &demand;
  need.vms = demand.vm_count;
  need.gain = demand.GroupValue(demand.vm_count * demand.accelerators_per_vm);
  need.is_surge = is_surge;
  return need;
}

PlacementNeed MakeRepairNeed(const PlacementDemand& demand,
                             const PlacementState& state,
                             std::size_t group) {
  PlacementNeed need = MakeFormNeed(demand, false);
  need.group = group;
  need.vms =
      state.groups[group].lost_members + state.groups[group].leaving_members;
  return need;
}

int AllocateVms(std::vector<PlacementNeed> needs, PlacementDraft* draft) {
  std::stable_sort(needs.begin(), needs.end(), HasHigherGainPerByte);
  const auto first_form = std::stable_partition(
      needs.begin(), needs.end(),
      [](const PlacementNeed& need) { return need.group != kNewGroup; });
  const std::vector<PlacementNeed> forms(first_form, needs.end());
  needs.erase(first_form, needs.end());

  // Repairs go first: each needs few VMs and restores a complete group.
  std::vector<PlacementNeed> repairs_without_spares;
  for (const PlacementNeed& need : needs) {
    if (Swap(need, draft) == NeedResult::kNoFreeVms) {
      repairs_without_spares.push_back(need);
    }
  }
  std::vector<Reservation> reservations;
  const std::vector<PlacementNeed> without_vms =
      ReserveAll(forms, &reservations, draft);
  std::stable_sort(reservations.begin(), reservations.end(),
                   [](const Reservation& left, const Reservation& right) {
                     return HasHigherGainPerByte(left.need, right.need);
                   });
  for (const Reservation& reservation : reservations) {
    Form(reservation, draft);
  }
  std::vector<PlacementNeed> unresolved;
  for (const PlacementNeed& need : repairs_without_spares) {
    if (!FormInOtherFabric(need, draft)) {
      unresolved.push_back(need);
    }
  }
  if (!draft->IsRepairOnly()) {
    BreakUpGroups(unresolved, without_vms, draft);
  }
  return static_cast<int>(
      std::count_if(without_vms.begin(), without_vms.end(),
                    [](const PlacementNeed& need) { return need.is_surge; }));
}

}  // namespace kumquatcart
