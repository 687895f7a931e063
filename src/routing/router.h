// Choice of the backend server for one attempt.
#ifndef ROUTING_ROUTER_H_
#define ROUTING_ROUTER_H_

#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "board/board.h"
#include "model/engine.h"

namespace kumquatcart {

// Names a routing target: a replica group's id or a plain service VM's id.
using BackendId = StrongId<struct BackendIdTag>;

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

// Chooses targets and keeps count of this node's own attempts. Thread safe.
class Router {
 public:
  // Precondition: `board` outlives the router.
  explicit Router(Board* board);

  // Chooses a target and counts an attempt in flight there. Errors: kNotFound
  // when no such service is configured; kUnavailable when none can take the
  // attempt, with `retry_after_ms`.
  Result<Route> Choose(const RouteQuery& query);

  // Ends the attempt that Choose counted. Precondition: called once per
  // successful Choose.
  void Finish(const Route& route, AttemptResult result, Duration latency);

 private:
  Board* board;
  std::mutex mutex;  // Guards `in_flight`; leaf in the lock order.
  std::map<BackendId, int> in_flight;
};

}  // namespace kumquatcart

#endif  // ROUTING_ROUTER_H_
