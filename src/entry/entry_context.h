// State shared by the parts of the request path.
#ifndef ENTRY_ENTRY_CONTEXT_H_
#define ENTRY_ENTRY_CONTEXT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/metrics.h"
#include "control/fleet_view.h"
#include "control/server_prober.h"
#include "entry/entry_constants.h"
#include "net/connection_pool.h"
#include "routing/first_event_times.h"
#include "routing/route_table.h"
#include "routing/shared_retry_budget.h"

namespace kumquatcart {

class GroupLoadBalancer;
class GroupStallDetector;
class PlainLoadBalancer;
class PromptGuard;
class RequestMemory;
class ServerGate;
class ServerLimiter;

// The referents outlive every request. Must be used on the event loop's thread.
struct EntryContext {
  EventLoop* loop = nullptr;
  FleetView* view = nullptr;
  ServerProber* prober = nullptr;
  ConnectionPool* pool = nullptr;
  GroupLoadBalancer* group_balancer = nullptr;
  PlainLoadBalancer* plain_balancer = nullptr;
  GroupStallDetector* stall_detector = nullptr;
  SharedRetryBudget* shared_retry_budget = nullptr;
  MetricRegistry* metrics = nullptr;
  ServerLimiter* limiter = nullptr;
  ServerGate* gate = nullptr;
  PromptGuard* prompts = nullptr;
  std::map<std::string, std::string> regions;  // By failure domain.
  std::string failure_domain;                  // Of this entry VM.
  // Routes of the current configuration; null until one has been read.
  std::shared_ptr<const RouteTable> routes;
  // Whether servers and groups have been read from the store.
  std::function<bool()> has_fleet_state = [] { return true; };
  // When the topic of the configuration was last read; zero: never.
  std::function<MonotonicTime()> config_read_at = [] {
    return MonotonicTime{};
  };
  // Set once the process is shutting down: connections close after the request
  // in progress.
  bool is_stopping = false;
  // Requests in progress end with an answer of this process then, since it
  // stops soon after.
  MonotonicTime answer_by = MonotonicTime::max();
  // Set when connections without a request in progress must close: those that
  // have carried one, and those that have not.
  bool close_idle_connections = false;
  bool close_unused_connections = false;
  FirstEventTimes first_event_times;
  int requests_in_progress = 0;
  std::size_t buffered_answer_bytes = 0;  // Of all attempts.
  std::size_t max_buffered_answer_bytes = kMaxAllBufferedAnswerBytes;
  RequestMemory* request_memory = nullptr;  // Null: nothing is limited.
};

}  // namespace kumquatcart

#endif  // ENTRY_ENTRY_CONTEXT_H_
