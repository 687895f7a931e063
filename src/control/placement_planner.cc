#include "control/placement_planner.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>
#include <vector>

#include "control/placement_draft.h"
#include "control/placement_maintenance.h"
#include "control/placement_needs.h"
#include "control/placement_state.h"

namespace kumquatcart {

namespace {

using Indexes = std::vector<std::size_t>;

// The groups of one service, classified by how the plan treats them.
struct DemandGroups {
  Indexes current;   // Wanted version and size, no leaving member.
  Indexes leaving;   // Wanted version and size, some member leaves.
  Indexes outdated;  // Another version or size.
};

// Groups with a lower rank are kept in preference to others.
int RetentionRank(const PlacementGroup& group) {
  if (group.IsWhole()) {
    return group.draining ? 1 : 0;
  }
  if (group.lost_members > 0) {
    return 3 + group.lost_members;
  }
  return group.all_confirm ? 2 : 3;
}

// Orders by rank, then by number of running streams, highest first.
std::pair<int, int> RetentionKey(const PlacementState& state,
                                 std::size_t index) {
  const PlacementGroup& group = state.groups[index];
  int running = 0;
  for (const PlacementMember& member : group.members) {
    running += member.lost ? 0 : state.vms[member.vm].status->load.running;
  }
  return {RetentionRank(group), -running};
}

DemandGroups ClassifyGroups(const PlacementDemand& demand,
                            const PlacementState& state) {
  DemandGroups classified;
  for (const std::size_t index : demand.groups) {
    const PlacementGroup& group = state.groups[index];
    const bool matches_demand =
        group.claim.version == demand.version &&
        static_cast<int>(group.members.size()) == demand.vm_count;
    if (!matches_demand) {
      classified.outdated.push_back(index);
    } else if (group.leaving_members > 0) {
      classified.leaving.push_back(index);
    } else {
      classified.current.push_back(index);
    }
  }
  std::stable_sort(classified.current.begin(), classified.current.end(),
                   [&](std::size_t left, std::size_t right) {
                     return RetentionKey(state, left) <
                            RetentionKey(state, right);
                   });
  return classified;
}

// Plans the groups of one service.
class DemandPlanner {
 public:
  DemandPlanner(const PlacementDemand& demand,
                PlacementDraft* draft,
                std::vector<PlacementNeed>* needs)
      : demand(demand),
        state(draft->State()),
        draft(draft),
        needs(needs),
        groups(ClassifyGroups(demand, draft->State())) {}

  // Keeps, drains and retires groups and appends the VM needs of this service.
  void Plan() {
    const int kept = std::min(this->demand.replicas, this->CurrentCount());
    this->missing = this->demand.replicas - kept;
    this->all_replicas_serving =
        this->CountServing(this->groups.current) >= this->demand.replicas;
    this->KeepCurrentGroups(kept);
    this->HandleLeaving();
    this->HandleOutdated();
    for (int i = 0; i < this->missing; ++i) {
      this->needs->push_back(MakeFormNeed(this->demand, false));
    }
  }

  // Starts successors of groups that still serve, on VMs that remain after the
  // needs of all services. Retires an outdated group to free VMs when no
  // successor finds any.
  void StartSuccessors() {
    if (this->successors <= 0) {
      return;
    }
    std::vector<PlacementNeed> surges(
        this->successors, MakeFormNeed(this->demand, /*is_surge=*/true));
    const int without_vms = AllocateVms(std::move(surges), this->draft);
    if (without_vms == this->successors && this->may_free_capacity) {
      this->Retire(this->serving_outdated.front(),
                   "makes room for the wanted version");
    }
  }

 private:
  int CurrentCount() const {
    return static_cast<int>(this->groups.current.size());
  }

  const PlacementGroup& Group(std::size_t index) const {
    return this->state.groups[index];
  }

  bool IsServing(std::size_t index) const {
    return this->Group(index).IsWhole() && !this->Group(index).draining;
  }

  int CountServing(const Indexes& indexes) const {
    return static_cast<int>(
        std::count_if(indexes.begin(), indexes.end(),
                      [&](std::size_t index) { return IsServing(index); }));
  }

  void Retire(std::size_t index, const char* reason) {
    if (!this->draft->IsRepairOnly()) {
      RetireGroup(this->Group(index), reason, this->draft);
    }
  }

  // Keeps the first `kept` current groups and retires the others once the kept
  // ones serve.
  void KeepCurrentGroups(int kept) {
    // Changes the role of one group at a time, only while no replica is
    // missing.
    bool may_drain = this->all_replicas_serving;
    for (int i = 0; i < this->CurrentCount(); ++i) {
      const std::size_t index = this->groups.current[i];
      const PlacementGroup& group = this->Group(index);
      if (i >= kept && this->all_replicas_serving) {
        this->Retire(index, "more replicas than wanted");
        continue;
      }
      MaintainGroup(this->demand, group, may_drain, this->draft);
      may_drain = may_drain && !this->HasOtherRole(group);
      if (i < kept && group.lost_members > 0) {
        this->needs->push_back(
            MakeRepairNeed(this->demand, this->state, index));
      }
    }
  }

  bool HasOtherRole(const PlacementGroup& group) const {
    return std::any_of(group.members.begin(), group.members.end(),
                       [&](const PlacementMember& member) {
                         return !member.lost &&
                                this->state.vms[member.vm].status->claim.role !=
                                    this->demand.role;
                       });
  }

  // Drains groups with a leaving member, then replaces the member or forms a
  // successor, whichever serves sooner.
  void HandleLeaving() {
    for (const std::size_t index : this->groups.leaving) {
      const PlacementGroup& group = this->Group(index);
      DrainGroup(group, "a member leaves", this->draft);
      const bool runs_streams = group.IsWhole() && !group.idle;
      if (this->missing <= 0) {
        if (this->all_replicas_serving) {
          this->Retire(index, "replaced, since a member leaves");
        }
        continue;
      }
      --this->missing;
      if (!runs_streams) {
        this->needs->push_back(
            MakeRepairNeed(this->demand, this->state, index));
      } else if (this->IsSuccessorSooner()) {
        this->needs->push_back(MakeFormNeed(this->demand, false));
      }
    }
  }

  // True when a new group would serve before the old one has drained and one
  // spare has loaded its weights.
  bool IsSuccessorSooner() const {
    const std::int64_t bytes = this->demand.bytes_per_vm;
    return this->draft->LoadTime(bytes * this->demand.vm_count) <
           this->draft->Input().limits.drain_estimate +
               this->draft->LoadTime(bytes);
  }

  // Retires groups of another version once their successors serve, and
  // determines how many successors to start.
  void HandleOutdated() {
    Indexes& serving = this->serving_outdated;
    int in_flight =
        this->CurrentCount() - this->CountServing(this->groups.current);
    for (const std::size_t index : this->groups.outdated) {
      const PlacementGroup& group = this->Group(index);
      if (this->IsServing(index) && group.leaving_members == 0) {
        serving.push_back(index);
        continue;
      }
      in_flight += group.IsWhole() ? 1 : 0;
      this->Retire(index, "another version is wanted");
    }
    if (this->draft->IsRepairOnly()) {
      return;
    }
    const int surplus = this->CountServing(this->groups.current) +
                        static_cast<int>(serving.size()) -
                        this->demand.replicas;
    for (int i = 0; i < surplus && !serving.empty(); ++i) {
      this->Retire(serving.back(), "its successor serves");
      serving.pop_back();
    }
    this->CountSuccessors(in_flight);
  }

  // Limits how many of the missing replicas that an outdated group still serves
  // are replaced at once.
  void CountSuccessors(int in_flight) {
    const int covered = std::min(
        this->missing, static_cast<int>(this->serving_outdated.size()));
    this->missing -= covered;
    const double replaceable =
        this->draft->Input().limits.rollout_fraction * this->demand.replicas;
    const int at_once = std::max(1, static_cast<int>(std::floor(replaceable)));
    this->successors = std::min(covered, at_once - in_flight);
    this->may_free_capacity = in_flight == 0 && this->missing == 0;
  }

  const PlacementDemand& demand;
  const PlacementState& state;
  PlacementDraft* const draft;
  std::vector<PlacementNeed>* const needs;
  DemandGroups groups;
  int missing = 0;                    // Replicas without a current group.
  bool all_replicas_serving = false;  // Enough current groups serve.
  Indexes serving_outdated;
  int successors = 0;              // Successors of serving groups to start.
  bool may_free_capacity = false;  // No replica is missing or being started.
};

}  // namespace

PlacementPlan PlanPlacement(const PlacementInput& input) {
  const PlacementState state = BuildPlacementState(input);
  PlacementDraft draft(input, state);
  std::vector<PlacementNeed> needs;
  std::vector<DemandPlanner> planners;
  planners.reserve(state.demands.size());
  for (const PlacementDemand& demand : state.demands) {
    planners.emplace_back(demand, &draft, &needs);
    planners.back().Plan();
  }
  AllocateVms(std::move(needs), &draft);
  for (DemandPlanner& planner : planners) {
    planner.StartSuccessors();
  }
  if (!draft.IsRepairOnly()) {
    for (const std::size_t index : state.unwanted) {
      RetireGroup(state.groups[index], "its service is not wanted here",
                  &draft);
    }
    ReleaseStaleClaims(&draft);
  }
  return draft.Finish();
}

}  // namespace kumquatcart
