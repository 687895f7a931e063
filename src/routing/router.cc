#include "routing/router.h"

#include <algorithm>
#include <utility>

#include "routing/routing_constants.h"
#include "routing/service_capacity.h"

namespace kumquatcart {

namespace {

// Part of the past that each further attempt keeps in the decayed counts.
constexpr double kStatsDecay = 0.9;

bool IsExcluded(const RouteQuery& query, const BackendId& backend) {
  return std::find(query.excluded.begin(), query.excluded.end(), backend) !=
         query.excluded.end();
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

Error NoBackend(const ServiceName& service) {
  Error error =
      MakeError(ErrorCode::kUnavailable, "no backend server can serve '" +
                                             service.value + "' at the moment");
  error.retry_after_ms = ToMillis(kNoBackendRetryAfter);
  return error;
}

void Decay(AttemptResult result, Duration latency, BackendStats* stats) {
  if (result == AttemptResult::kCancelled) {
    return;
  }
  const double failed = result == AttemptResult::kAnswered ? 0 : 1;
  stats->attempts = kStatsDecay * stats->attempts + 1;
  const double part = 1 / stats->attempts;
  stats->failure_rate += part * (failed - stats->failure_rate);
  if (result != AttemptResult::kAnswered) {
    return;
  }
  const double seconds = std::chrono::duration<double>(latency).count();
  stats->latency_seconds += stats->latency_seconds == 0
                                ? seconds
                                : part * (seconds - stats->latency_seconds);
}

}  // namespace

SettingGroup DescribeSettings(RouterSettings* settings) {
  using std::chrono::milliseconds;
  return {"Routing",
          {NumberSetting("affinity-load-bound",
                         "How much busier than the mean the backend server "
                         "that caches a prompt may be.",
                         &settings->affinity_load_bound, 1, 10),
           NumberSetting("spill-utilisation",
                         "Mean utilisation at which requests leave the own "
                         "failure domain.",
                         &settings->spill_utilisation, 0.1, 10),
           DurationSetting("slow-start-ms",
                           "Milliseconds over which a new backend server gets "
                           "its full share.",
                           &settings->slow_start, milliseconds(0),
                           milliseconds(600000))}};
}

double SlowStartWeight(Duration age, Duration window) {
  if (age >= window) {
    return 1;
  }
  const double part = std::chrono::duration<double>(age) /
                      std::chrono::duration<double>(window);
  return std::max(kSlowStartFloor, part);
}

Router::Router(Clock* clock,
               Board* board,
               RouterSettings settings,
               std::uint64_t seed)
    : clock(clock),
      board(board),
      settings(settings),
      started_at(clock->Now()),
      ledger(kLoadLedgerMemory),
      random(seed) {}

Result<Route> Router::Choose(const RouteQuery& query) {
  if (!IsConfigured(*this->board->config.Read(), query.service)) {
    return MakeError(ErrorCode::kNotFound,
                     "there is no service '" + query.service.value + "'");
  }
  const MonotonicTime now = this->clock->Now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<Option> options = this->FindOptions(query);
  this->RefreshOutliers(query.service, options, now);
  std::vector<Candidate> candidates;
  candidates.reserve(options.size());
  for (Option& option : options) {
    option.candidate.suspected = option.candidate.suspected ||
                                 this->outliers.count(option.route.backend) > 0;
    candidates.push_back(option.candidate);
  }
  SelectionPolicy policy;
  policy.affinity_load_bound = this->settings.affinity_load_bound;
  policy.spill_utilisation = this->settings.spill_utilisation;
  const auto chosen = SelectBackend(candidates, AffinityKey(query.prompt),
                                    policy, this->random());
  if (!chosen) {
    return NoBackend(query.service);
  }
  const Route& route = options[*chosen].route;
  this->ledger.Start(route.backend, now);
  this->Remember(route.backend, now).circuit.RecordStart(now);
  return route;
}

void Router::Finish(const Route& route,
                    AttemptResult result,
                    Duration latency) {
  const MonotonicTime now = this->clock->Now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->ledger.Finish(route.backend, now);
  this->ledger.Prune(now);
  Memory& memory = this->Remember(route.backend, now);
  Decay(result, latency, &memory.stats);
  switch (result) {
    case AttemptResult::kAnswered:
      memory.circuit.RecordSuccess();
      break;
    case AttemptResult::kCancelled:
      memory.circuit.RecordNeutral();
      break;
    case AttemptResult::kRefused:
    case AttemptResult::kFailed:
    case AttemptResult::kTimedOut:
      memory.circuit.RecordFailure(now);
      break;
  }
}

std::vector<Router::Option> Router::FindOptions(const RouteQuery& query) {
  const MonotonicTime now = this->clock->Now();
  const auto groups = this->board->groups.Read();
  const auto vms = this->board->vms.Read();
  std::vector<Option> options;
  const auto add = [&](const Route& route, const EngineLoad& load) {
    if (IsExcluded(query, route.backend)) {
      return;
    }
    Candidate candidate = this->Assess(route, load, now);
    candidate.distance = this->DistanceTo(route.failure_domain, *vms);
    options.push_back({route, std::move(candidate)});
  };
  for (const auto& [id, group] : groups->groups) {
    const bool serves = group.claim.service == query.service &&
                        group.state == GroupState::kWhole &&
                        group.claim.role != EngineRole::kPrefill;
    if (serves) {
      add(RouteToGroup(group), group.load);
    }
  }
  for (const auto& [id, vm] : vms->vms) {
    const bool serves = vm.role == VmRole::kPlainService &&
                        vm.service == query.service &&
                        vm.state == VmState::kLive;
    if (serves) {
      add(RouteToVm(vm), PlainServiceLoad());
    }
  }
  return options;
}

Candidate Router::Assess(const Route& route,
                         const EngineLoad& load,
                         MonotonicTime now) {
  const Memory& memory = this->Remember(route.backend, now);
  Candidate candidate;
  candidate.id = route.backend;
  candidate.load = this->ledger.Estimate(route.backend, load, now);
  candidate.capacity = CapacityOf(load);
  candidate.weight =
      SlowStartWeight(now - memory.routable_since, this->settings.slow_start);
  candidate.suspected = !memory.circuit.Allows(now);
  return candidate;
}

Router::Memory& Router::Remember(const BackendId& backend, MonotonicTime now) {
  const auto [entry, is_new] = this->memories.try_emplace(backend);
  Memory& memory = entry->second;
  memory.last_seen = now;
  if (!is_new) {
    return memory;
  }
  memory.stats.id = backend;
  // What was there when this node started may be warm already: no slow start.
  const bool seen_at_start = now - this->started_at < this->settings.slow_start;
  memory.routable_since = seen_at_start ? now - this->settings.slow_start : now;
  return memory;
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

void Router::RefreshOutliers(const ServiceName& service,
                             const std::vector<Option>& options,
                             MonotonicTime now) {
  MonotonicTime& until = this->outliers_until[service];
  if (now < until) {
    return;
  }
  until = now + kOutlierInterval;
  this->ForgetGone(now);
  std::vector<BackendStats> pool;
  pool.reserve(options.size());
  for (const Option& option : options) {
    pool.push_back(this->Remember(option.route.backend, now).stats);
  }
  // Only this pool's members are judged anew; other services keep their
  // verdicts.
  for (const BackendStats& stats : pool) {
    this->outliers.erase(stats.id);
  }
  this->outliers.merge(FindOutliers(pool, OutlierPolicy()));
}

void Router::ForgetGone(MonotonicTime now) {
  const MonotonicTime oldest = now - kBackendMemory;
  for (auto entry = this->memories.begin(); entry != this->memories.end();) {
    if (entry->second.last_seen >= oldest) {
      ++entry;
      continue;
    }
    this->outliers.erase(entry->first);
    entry = this->memories.erase(entry);
  }
}

}  // namespace kumquatcart
