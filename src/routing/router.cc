#include "routing/router.h"

#include <algorithm>
#include <set>
#include <utility>

#include "routing/routing_constants.h"
#include "routing/service_capacity.h"

namespace kumquatcart {

namespace {

// Factor by which each attempt decays the statistics of earlier attempts.
constexpr double kStatsDecay = 0.9;

// Selects one of the candidates that are not in `excluded`. Returns its index
// in `candidates`.
std::optional<std::size_t> SelectRemaining(
    const std::vector<Candidate>& candidates,
    const std::vector<BackendId>& excluded,
    std::uint64_t affinity_key,
    const SelectionPolicy& policy,
    std::uint64_t random) {
  std::vector<Candidate> remaining;
  std::vector<std::size_t> indexes;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const BackendId& id = candidates[index].id;
    if (std::find(excluded.begin(), excluded.end(), id) == excluded.end()) {
      remaining.push_back(candidates[index]);
      indexes.push_back(index);
    }
  }
  const auto chosen = SelectBackend(remaining, affinity_key, policy, random);
  return chosen ? std::optional<std::size_t>(indexes[*chosen]) : std::nullopt;
}

bool IsConfigured(const ConfigView& config, const ServiceName& service) {
  const ObjectName name(service.value);
  return config.model_services.count(name) > 0 ||
         config.plain_services.count(name) > 0;
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

EngineLoad PlainServiceLoad() {
  EngineLoad load;
  load.capacity = kPlainServiceCapacity;
  return load;
}

Error NoBackendError(const ServiceName& service) {
  Error error =
      MakeError(ErrorCode::kUnavailable, "no backend server can serve '" +
                                             service.value + "' at the moment");
  error.retry_after_ms = ToMillis(kNoBackendRetryAfter);
  return error;
}

void UpdateStats(AttemptResult result, Duration latency, BackendStats* stats) {
  if (result == AttemptResult::kCancelled) {
    return;
  }
  const double failed = result == AttemptResult::kAnswered ? 0 : 1;
  stats->attempts = kStatsDecay * stats->attempts + 1;
  const double weight = 1 / stats->attempts;
  stats->failure_rate += weight * (failed - stats->failure_rate);
  if (result != AttemptResult::kAnswered) {
    return;
  }
  const double seconds = std::chrono::duration<double>(latency).count();
  stats->latency_seconds += stats->latency_seconds == 0
                                ? seconds
                                : weight * (seconds - stats->latency_seconds);
}

}  // namespace

SettingGroup DescribeSettings(RouterSettings* settings) {
  using std::chrono::milliseconds;
  return {"Routing",
          {NumberSetting("affinity-load-bound",
                         "Highest load of the backend server that caches a "
                         "prompt, relative to the mean load.",
                         &settings->affinity_load_bound, 1, 10),
           NumberSetting("spill-utilisation",
                         "Mean utilisation at which requests leave the "
                         "local failure domain.",
                         &settings->spill_utilisation, 0.1, 10),
           DurationSetting("slow-start-ms",
                           "Milliseconds over which the weight of a new "
                           "backend server rises to its full value.",
                           &settings->slow_start, milliseconds(0),
                           milliseconds(600000))}};
}

double SlowStartWeight(Duration age, Duration window) {
  if (age >= window) {
    return 1;
  }
  const double fraction = std::chrono::duration<double>(age) /
                          std::chrono::duration<double>(window);
  return std::max(kMinSlowStartWeight, fraction);
}

Router::Router(Clock* clock,
               Board* board,
               RouterSettings settings,
               std::uint64_t seed)
    : clock(clock),
      board(board),
      settings(settings),
      started_at(clock->Now()),
      random(seed) {}

Result<Route> Router::Choose(const RouteQuery& query) {
  if (!IsConfigured(*this->board->config.Read(), query.service)) {
    return MakeError(ErrorCode::kNotFound,
                     "there is no service '" + query.service.value + "'");
  }
  const MonotonicTime now = this->clock->Now();
  SelectionPolicy policy;
  policy.affinity_load_bound = this->settings.affinity_load_bound;
  policy.spill_utilisation = this->settings.spill_utilisation;
  const std::uint64_t key = AffinityKey(query.prompt);
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Pool& pool = this->RefreshPool(query.service, now);
  const auto chosen =
      query.excluded.empty()
          ? SelectBackend(pool.candidates, key, policy, this->random())
          : SelectRemaining(pool.candidates, query.excluded, key, policy,
                            this->random());
  if (!chosen) {
    return NoBackendError(query.service);
  }
  BackendState& state = *pool.backend_states[*chosen];
  state.ledger.Start(now);
  state.health->circuit.RecordStart(now);
  return pool.routes[*chosen];
}

void Router::Finish(const Route& route,
                    AttemptResult result,
                    Duration latency) {
  const MonotonicTime now = this->clock->Now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::shared_ptr<BackendState> state =
      this->FindOrCreateState(route, now);
  state->ledger.Finish(now);
  BackendHealth& health = *state->health;
  if (health.epoch != route.epoch) {
    return;  // Other members have formed the group since.
  }
  UpdateStats(result, latency, &health.stats);
  switch (result) {
    case AttemptResult::kAnswered:
      health.circuit.RecordSuccess();
      break;
    case AttemptResult::kCancelled:
      health.circuit.RecordNeutral();
      break;
    case AttemptResult::kRefused:
    case AttemptResult::kFailed:
    case AttemptResult::kTimedOut:
      health.circuit.RecordFailure(now);
      break;
  }
}

Router::Pool& Router::RefreshPool(const ServiceName& service,
                                  MonotonicTime now) {
  Pool& pool = this->pools[service];
  // The versions are read before the tables, so that the next call picks up a
  // change made in between.
  const std::uint64_t groups_version = this->board->groups.Version();
  const std::uint64_t vms_version = this->board->vms.Version();
  const bool is_current =
      pool.groups_version == groups_version && pool.vms_version == vms_version;
  if (!is_current) {
    this->BuildPool(service, now, &pool);
    pool.groups_version = groups_version;
    pool.vms_version = vms_version;
  }
  this->RefreshOutliers(now, &pool);
  this->UpdateCandidates(now, &pool);
  return pool;
}

void Router::BuildPool(const ServiceName& service,
                       MonotonicTime now,
                       Pool* pool) {
  pool->routes.clear();
  pool->loads.clear();
  pool->backend_states.clear();
  pool->candidates.clear();
  const auto groups = this->board->groups.Read();
  const auto vms = this->board->vms.Read();
  for (const auto& [id, group] : groups->groups) {
    const bool serves = group.claim.service == service &&
                        group.state == GroupState::kWhole &&
                        group.claim.role != EngineRole::kPrefill;
    if (serves) {
      this->AddTarget(RouteToGroup(group), group.load,
                      this->DistanceTo(group.failure_domain, *vms), now, pool);
    }
  }
  for (const auto& [id, vm] : vms->vms) {
    const bool serves = vm.role == VmRole::kPlainService &&
                        vm.service == service && vm.state == VmState::kLive;
    if (serves) {
      this->AddTarget(RouteToVm(vm), PlainServiceLoad(),
                      this->DistanceTo(vm.failure_domain, *vms), now, pool);
    }
  }
}

void Router::AddTarget(const Route& route,
                       const EngineLoad& load,
                       Distance distance,
                       MonotonicTime now,
                       Pool* pool) {
  Candidate candidate;
  candidate.id = route.backend;
  candidate.capacity = CapacityOf(load);
  candidate.distance = distance;
  pool->routes.push_back(route);
  pool->loads.push_back(load);
  pool->backend_states.push_back(this->FindOrCreateState(route, now));
  if (pool->backend_states.back()->health->epoch != route.epoch) {
    pool->backend_states.back()->health.emplace(route);
  }
  pool->candidates.push_back(std::move(candidate));
}

void Router::UpdateCandidates(MonotonicTime now, Pool* pool) const {
  for (std::size_t index = 0; index < pool->candidates.size(); ++index) {
    const BackendState& state = *pool->backend_states[index];
    Candidate& candidate = pool->candidates[index];
    candidate.load = state.ledger.Estimate(pool->loads[index], now);
    candidate.weight =
        SlowStartWeight(now - state.routable_since, this->settings.slow_start);
    candidate.suspected =
        state.health->is_outlier || !state.health->circuit.Allows(now);
  }
}

Router::BackendHealth::BackendHealth(const Route& route) : epoch(route.epoch) {
  this->stats.id = route.backend;
}

std::shared_ptr<Router::BackendState> Router::FindOrCreateState(
    const Route& route,
    MonotonicTime now) {
  std::shared_ptr<BackendState>& state = this->backend_states[route.backend];
  if (!state) {
    state = std::make_shared<BackendState>();
    // Backend servers found when this node starts may already be warm, so they
    // skip slow start.
    const bool seen_at_start =
        now - this->started_at < this->settings.slow_start;
    state->routable_since =
        seen_at_start ? now - this->settings.slow_start : now;
  }
  if (!state->health) {
    state->health.emplace(route);
  }
  state->last_seen = now;
  return state;
}

Distance Router::DistanceTo(const FailureDomainId& failure_domain,
                            const VmTable& vms) const {
  const NodeIdentity& self = this->board->identity;
  if (failure_domain == self.failure_domain) {
    return Distance::kSameFailureDomain;
  }
  for (const auto& [id, vm] : vms.vms) {
    if (vm.failure_domain == failure_domain) {
      return vm.region == self.region ? Distance::kSameRegion
                                      : Distance::kOtherRegion;
    }
  }
  return Distance::kOtherRegion;
}

void Router::RefreshOutliers(MonotonicTime now, Pool* pool) {
  if (now < pool->next_outlier_check) {
    return;
  }
  pool->next_outlier_check = now + kOutlierInterval;
  this->RemoveExpiredStates(now);
  std::vector<BackendStats> stats;
  stats.reserve(pool->backend_states.size());
  for (const std::shared_ptr<BackendState>& state : pool->backend_states) {
    stats.push_back(state->health->stats);
  }
  const std::set<BackendId> outliers = FindOutliers(stats, OutlierPolicy());
  for (const std::shared_ptr<BackendState>& state : pool->backend_states) {
    state->health->is_outlier = outliers.count(state->health->stats.id) > 0;
  }
}

void Router::RemoveExpiredStates(MonotonicTime now) {
  const MonotonicTime oldest = now - kBackendStateRetention;
  for (auto entry = this->backend_states.begin();
       entry != this->backend_states.end();) {
    const BackendState& state = *entry->second;
    const bool in_use =
        entry->second.use_count() > 1 || state.ledger.InFlight() > 0;
    const bool expired = !in_use && state.last_seen < oldest;
    entry = expired ? this->backend_states.erase(entry) : std::next(entry);
  }
}

}  // namespace kumquatcart
