#include "load/group_usage.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace kumquatcart::load {

namespace {

// The part of a /status row of a VM that is read here.
Result<std::map<VmId, int>> DecodeVms(const Json& rows) {
  std::map<VmId, int> accelerators;
  for (const Json& row : rows) {
    BOOST_OUTCOME_TRY(vm, FromJson<Vm>(row));
    accelerators[vm.id] = vm.accelerators;
  }
  return accelerators;
}

bool CanServe(GroupState state) {
  return state == GroupState::kWhole || state == GroupState::kDraining;
}

int StrandedIn(const ReplicaGroup& group, const StatusSample& sample) {
  if (CanServe(group.state)) {
    return 0;
  }
  int accelerators = 0;
  for (const VmId& member : group.claim.members) {
    const auto vm = sample.live_accelerators.find(member);
    if (vm != sample.live_accelerators.end()) {
      accelerators += vm->second;
    }
  }
  return accelerators;
}

}  // namespace

Result<StatusSample> DecodeStatusSample(const std::string& body) {
  BOOST_OUTCOME_TRY(json, ParseJson(body));
  if (!json.is_object() || !json.contains("groups") || !json.contains("vms")) {
    return MakeError(ErrorCode::kInvalidArgument, "no groups or vms");
  }
  StatusSample sample;
  BOOST_OUTCOME_TRY(groups,
                    FromJson<std::vector<ReplicaGroup>>(json["groups"]));
  for (const ReplicaGroup& group : groups) {
    sample.groups.groups[group.claim.group] = group;
  }
  BOOST_OUTCOME_TRY(vms, DecodeVms(json["vms"]));
  sample.live_accelerators = std::move(vms);
  return sample;
}

void GroupUsage::Add(const StatusSample& sample, MonotonicTime at) {
  if (this->samples > 0) {
    const double seconds =
        std::chrono::duration<double>(at - this->last_at).count();
    this->downtime += seconds * this->missing_now;
    this->stranded += seconds * this->stranded_now;
  }
  this->last_at = at;
  this->Measure(sample);
  this->most_whole = std::max(this->most_whole, this->whole_now);
  this->fewest_whole = this->samples == 0
                           ? this->whole_now
                           : std::min(this->fewest_whole, this->whole_now);
  ++this->samples;
}

void GroupUsage::Measure(const StatusSample& sample) {
  std::map<Place, int> whole_at;
  this->stranded_now = 0;
  for (const auto& [id, group] : sample.groups.groups) {
    this->stranded_now += StrandedIn(group, sample);
    if (CanServe(group.state)) {
      ++whole_at[{group.claim.service, group.failure_domain}];
    }
  }
  this->whole_now = 0;
  for (const auto& [place, whole] : whole_at) {
    this->whole_now += whole;
    this->most_at[place] = std::max(this->most_at[place], whole);
  }
  this->missing_now = 0;
  for (const auto& [place, most] : this->most_at) {
    this->missing_now += most - whole_at[place];
  }
}

}  // namespace kumquatcart::load
