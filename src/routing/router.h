// Selects the backend server for one attempt of a request.
#ifndef ROUTING_ROUTER_H_
#define ROUTING_ROUTER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/setting.h"
#include "board/board.h"
#include "model/engine.h"
#include "routing/backend_id.h"
#include "routing/backend_selector.h"
#include "routing/circuit_breaker.h"
#include "routing/in_flight_history.h"
#include "routing/outlier_detector.h"
#include "routing/routing_constants.h"

namespace kumquatcart {

// Selection criteria of one attempt.
struct RouteQuery {
  ServiceName service;
  std::string prompt;  // Model services only; determines prefix affinity.
  int priority = 0;
  std::vector<BackendId> excluded;  // Already tried.

  auto Tie() const {
    return std::tie(this->service, this->prompt, this->priority,
                    this->excluded);
  }
};

// Target of one attempt.
struct Route {
  BackendId backend;
  GroupId group;  // Empty for plain services.
  GroupEpoch epoch = 0;
  Endpoint endpoint;
  FailureDomainId failure_domain;

  auto Tie() const {
    return std::tie(this->backend, this->group, this->epoch, this->endpoint,
                    this->failure_domain);
  }
};

// Result of an attempt, as evidence of the health of the backend server.
enum class AttemptResult {
  kAnswered,   // Complete response, or an error caused by the request.
  kRefused,    // Connection refused, or group or epoch rejected by the engine.
  kFailed,     // Failed after it had started.
  kTimedOut,   // No data within a timeout.
  kCancelled,  // The caller disconnected.
};

struct RouterSettings {
  // Highest load of the backend server that caches the prompt, relative to the
  // mean.
  double affinity_load_bound = 1.25;
  // Mean utilisation above which requests leave the local failure domain.
  double spill_utilisation = 0.9;
  // Time over which the weight of a new backend server rises to 1.
  Duration slow_start = std::chrono::seconds(10);
};

SettingGroup DescribeSettings(RouterSettings* settings);

// Weight of a backend server that became routable `age` ago. Rises linearly to
// 1 over `window`, with a minimum of 0.1.
double SlowStartWeight(Duration age, Duration window);

// Selects targets and tracks the attempts of this node. Thread safe: one mutex
// guards all state; the board's tables of groups and VMs are read while it is
// held.
class Router {
 public:
  // Precondition: `clock` and `board` outlive the router. `seed` makes
  // the random choices reproducible.
  Router(Clock* clock,
         Board* board,
         RouterSettings settings,
         std::uint64_t seed);

  // Selects a target and records an attempt in flight there. Errors: kNotFound
  // if the service is not configured; kUnavailable with `retry_after_ms` if no
  // backend server is eligible.
  Result<Route> Choose(const RouteQuery& query);

  // Records the end of an attempt started by Choose. `latency` is the time to
  // the first byte of the response. Precondition: called once per successful
  // Choose.
  void Finish(const Route& route, AttemptResult result, Duration latency);

 private:
  // Health of one backend server; of a group, under one epoch.
  struct BackendHealth {
    explicit BackendHealth(const Route& route);

    GroupEpoch epoch = 0;
    CircuitBreaker circuit{CircuitPolicy()};
    BackendStats stats;
    bool is_outlier = false;
  };

  // Health and load history of one backend server.
  struct BackendState {
    MonotonicTime routable_since;
    MonotonicTime last_seen;
    InFlightHistory ledger{kInFlightHistoryRetention};
    std::optional<BackendHealth> health;  // Always set.
  };

  // The backend servers of one service, rebuilt when the board's tables change.
  // The vectors share the same indexes.
  struct Pool {
    std::uint64_t groups_version = 0;
    std::uint64_t vms_version = 0;
    MonotonicTime next_outlier_check;
    std::vector<Route> routes;
    std::vector<EngineLoad> loads;
    std::vector<std::shared_ptr<BackendState>> backend_states;
    std::vector<Candidate> candidates;
  };

  Pool& RefreshPool(const ServiceName& service, MonotonicTime now);
  void BuildPool(const ServiceName& service, MonotonicTime now, Pool* pool);
  void AddTarget(const Route& route,
                 const EngineLoad& load,
                 Distance distance,
                 MonotonicTime now,
                 Pool* pool);
  void UpdateCandidates(MonotonicTime now, Pool* pool) const;
  std::shared_ptr<BackendState> FindOrCreateState(const Route& route,
                                                  MonotonicTime now);
  Distance DistanceTo(const FailureDomainId& failure_domain,
                      const VmTable& vms) const;
  void RefreshOutliers(MonotonicTime now, Pool* pool);
  void RemoveExpiredStates(MonotonicTime now);

  Clock* clock;
  Board* board;
  const RouterSettings settings;
  const MonotonicTime started_at;

  std::mutex mutex;
  std::map<BackendId, std::shared_ptr<BackendState>> backend_states;
  std::map<ServiceName, Pool> pools;
  std::mt19937_64 random;
};

}  // namespace kumquatcart

#endif  // ROUTING_ROUTER_H_
