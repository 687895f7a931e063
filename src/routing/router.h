// Choice of the backend server for one attempt.
#ifndef ROUTING_ROUTER_H_
#define ROUTING_ROUTER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
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
#include "routing/load_ledger.h"
#include "routing/outlier_detector.h"
#include "routing/routing_constants.h"

namespace kumquatcart {

// What an attempt needs.
struct RouteQuery {
  ServiceName service;
  std::string prompt;  // Model services; decides prefix affinity.
  int priority = 0;
  std::vector<BackendId> excluded;  // Tried already.

  auto Tie() const {
    return std::tie(this->service, this->prompt, this->priority,
                    this->excluded);
  }
};

// The target of one attempt.
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

// How an attempt ended, as far as it says something about the backend server.
enum class AttemptResult {
  kAnswered,   // A complete answer, or one that blames the request.
  kRefused,    // Connection refused, or the engine refused group or epoch.
  kFailed,     // Broke after it began.
  kTimedOut,   // Silent past a bound.
  kCancelled,  // The caller went away.
};

struct RouterSettings {
  double affinity_load_bound = 1.25;
  double spill_utilisation = 0.9;
  // How long a new backend server's share grows to its full weight.
  Duration slow_start = std::chrono::seconds(10);
};

SettingGroup DescribeSettings(RouterSettings* settings);

// Weight of a backend server that became routable `age` ago: from a tenth to
// one over `window`.
double SlowStartWeight(Duration age, Duration window);

// Chooses targets and keeps count of this node's own attempts. Thread safe: one
// mutex guards all state; the board's tables are read before it is taken.
class Router {
 public:
  // Precondition: `clock` and `board` outlive the router. `seed` fixes random
  // choices.
  Router(Clock* clock,
         Board* board,
         RouterSettings settings,
         std::uint64_t seed);

  // Chooses a target and counts an attempt in flight there. Errors: kNotFound
  // when no such service is configured; kUnavailable when none can take the
  // attempt, with `retry_after_ms`.
  Result<Route> Choose(const RouteQuery& query);

  // Ends the attempt that Choose counted. `latency` is the time to the first
  // byte of the answer. Precondition: called once per successful Choose.
  void Finish(const Route& route, AttemptResult result, Duration latency);

 private:
  // What is remembered of one backend server.
  struct Memory {
    MonotonicTime routable_since;
    MonotonicTime last_seen;
    LoadLedger ledger{kLoadLedgerMemory};
    CircuitBreaker circuit{CircuitPolicy()};
    BackendStats stats;
    bool is_outlier = false;
  };

  // The backend servers of one service, built anew when the board's tables
  // change. The vectors run in parallel.
  struct Pool {
    std::uint64_t groups_version = 0;
    std::uint64_t vms_version = 0;
    MonotonicTime outliers_until;
    std::vector<Route> routes;
    std::vector<EngineLoad> loads;
    std::vector<std::shared_ptr<Memory>> memories;
    std::vector<Candidate> candidates;
  };

  Pool& RefreshPool(const ServiceName& service, MonotonicTime now);
  void BuildPool(const ServiceName& service, MonotonicTime now, Pool* pool);
  void AddTarget(const Route& route,
                 const EngineLoad& load,
                 Distance distance,
                 MonotonicTime now,
                 Pool* pool);
  void Assess(MonotonicTime now, Pool* pool) const;
  std::shared_ptr<Memory> Remember(const BackendId& backend, MonotonicTime now);
  Distance DistanceTo(const FailureDomainId& failure_domain,
                      const VmTable& vms) const;
  void RefreshOutliers(MonotonicTime now, Pool* pool);
  void ForgetGone(MonotonicTime now);

  Clock* clock;
  Board* board;
  const RouterSettings settings;
  const MonotonicTime started_at;

  std::mutex mutex;
  std::map<BackendId, std::shared_ptr<Memory>> memories;
  std::map<ServiceName, Pool> pools;
  std::mt19937_64 random;
};

}  // namespace kumquatcart

#endif  // ROUTING_ROUTER_H_
