#include "routing/router.h"

#include <algorithm>

namespace kumquatcart {

namespace {

constexpr std::int64_t kNoBackendRetryAfterMs = 1000;

bool IsExcluded(const RouteQuery& query, const BackendId& backend) {
  return std::find(query.excluded.begin(), query.excluded.end(), backend) !=
         query.excluded.end();
}

Route RouteToGroup(const ReplicaGroup& group) {
  Route route;
  route.backend = BackendId(group.claim.group.value);
  route.group = group.claim.group;
  route.epoch = group.claim.epoch;
  route.endpoint = group.leader;
  route.failure_domain = group.failure_domain;
  return route;
}

Route RouteToVm(const Vm& vm) {
  Route route;
  route.backend = BackendId(vm.id.value);
  route.endpoint = vm.endpoint;
  route.failure_domain = vm.failure_domain;
  return route;
}

std::vector<Route> FindCandidates(const Board& board, const RouteQuery& query) {
  std::vector<Route> candidates;
  const auto groups = board.groups.Read();
  for (const auto& [id, group] : groups->groups) {
    if (group.claim.service == query.service &&
        group.state == GroupState::kWhole) {
      candidates.push_back(RouteToGroup(group));
    }
  }
  const auto vms = board.vms.Read();
  for (const auto& [id, vm] : vms->vms) {
    if (vm.role == VmRole::kPlainService && vm.service == query.service &&
        vm.state == VmState::kLive) {
      candidates.push_back(RouteToVm(vm));
    }
  }
  return candidates;
}

}  // namespace

Router::Router(Board* board) : board(board) {}

Result<Route> Router::Choose(const RouteQuery& query) {
  const std::vector<Route> candidates = FindCandidates(*this->board, query);
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Route* best = nullptr;
  for (const Route& candidate : candidates) {
    if (IsExcluded(query, candidate.backend)) {
      continue;
    }
    if (best == nullptr ||
        this->in_flight[candidate.backend] < this->in_flight[best->backend]) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    Error error = MakeError(ErrorCode::kUnavailable,
                            "no backend server can serve '" +
                                query.service.value + "' at the moment");
    error.retry_after_ms = kNoBackendRetryAfterMs;
    return error;
  }
  ++this->in_flight[best->backend];
  return *best;
}

void Router::Finish(const Route& route,
                    AttemptResult /*result*/,
                    Duration /*latency*/) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->in_flight.find(route.backend);
  if (found == this->in_flight.end()) {
    return;
  }
  if (--found->second == 0) {
    this->in_flight.erase(found);
  }
}

}  // namespace kumquatcart
