// Load balancing and queueing of requests over replica groups.
#ifndef ENTRY_GROUP_LOAD_BALANCER_H_
#define ENTRY_GROUP_LOAD_BALANCER_H_

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/fleet_view.h"
#include "entry/server_limiter.h"
#include "entry/server_slot.h"
#include "net/tcp_connection.h"
#include "net/waiter.h"
#include "routing/group_selector.h"
#include "routing/slot_queue_order.h"
#include "routing/slot_wait_estimator.h"

namespace kumquatcart {

// A request's requirements for a slot at a server.
struct SlotQuery {
  std::string service;
  std::string model;               // Empty for plain services.
  std::set<std::string> excluded;  // Ids of servers not to use.
  std::int64_t prompt_tokens = 0;
  Duration gap_target{0};      // Target for the longest pause between events.
  MonotonicTime latest_start;  // Latest start that meets the latency target.
  MonotonicTime wait_until;    // Latest time at which a slot is useful.
};

// A slot, or the reason why there is none and the Retry-After to send.
struct SlotResult {
  ServerSlotPtr slot;
  Duration retry_after{0};
  const char* reason = "";
  // The server whose rate limit is the reason; empty if none is.
  std::string rate_limited_by;
};

class GroupLoadBalancer;

// A queued request for a slot. Its destructor removes it from the queue. Runs
// on the event loop's thread.
class SlotRequest {
 public:
  // `balancer` and `waiter` must outlive this object.
  SlotRequest(GroupLoadBalancer* balancer, SlotQuery query, Waiter* waiter);
  ~SlotRequest();
  SlotRequest(const SlotRequest&) = delete;
  SlotRequest& operator=(const SlotRequest&) = delete;

  bool IsGranted() const { return this->slot != nullptr; }
  // Null unless granted.
  ServerSlotPtr Take() { return std::move(this->slot); }

 private:
  friend class GroupLoadBalancer;

  GroupLoadBalancer* const balancer;
  const SlotQuery query;
  Waiter* const waiter;
  const QueuedRequest request;
  bool was_tried = false;
  ServerSlotPtr slot;
};
using SlotRequestPtr = std::unique_ptr<SlotRequest>;

// Assigns each request to a lightly loaded group of its model. Queues it when
// no group has a free slot, and refuses it at once when the expected wait
// exceeds its deadline. Runs on the event loop's thread.
class GroupLoadBalancer {
 public:
  GroupLoadBalancer(EventLoop* loop,
                    FleetView* view,
                    ServerLoadCounters counts,
                    ServerLimiter* limiter,
                    std::string failure_domain)
      : loop(loop),
        view(view),
        counts(counts),
        limiter(limiter),
        failure_domain(std::move(failure_domain)) {}

  // Suspends until a slot is free, `query.wait_until` has passed or `caller`
  // has disconnected. Precondition: `waiter` is attached to `caller`.
  SlotResult Acquire(const SlotQuery& query,
                     TcpConnection* caller,
                     Waiter* waiter,
                     Coroutine yield);

  // Queues a request for a slot and notifies `waiter` when one is granted.
  SlotRequestPtr Enqueue(const SlotQuery& query, Waiter* waiter);

  // Assigns free slots to queued requests after groups or loads have changed.
  void AssignFreeSlots();

  // Sets the number of entry VMs that share the groups.
  void SetNodeCount(int nodes) { this->nodes = nodes; }

 private:
  friend class SlotRequest;

  // `is_first_try`: the first call for this request.
  ServerSlotPtr TryTake(const SlotQuery& query, bool is_first_try);
  // The group to use of `groups`. Skips those whose head has a rate limit and
  // no permit left, and requests permits of these.
  const GroupStatus* Select(std::vector<const GroupStatus*> groups,
                            const SlotQuery& query,
                            const EngineSpec& engine,
                            bool is_first_try);
  GroupCandidate MakeCandidate(const GroupStatus& group,
                               const EngineSpec& engine) const;
  // Open groups that serve the query's model and are not excluded.
  std::vector<const GroupStatus*> CandidateGroups(const SlotQuery& query);
  // All open groups that serve a model, valid until the view changes.
  std::vector<const GroupStatus*> ServingGroups(const std::string& service,
                                                const std::string& model);
  const EngineSpec* FindEngine(const std::string& service) const;
  RequestDemand MakeDemand(const SlotQuery& query,
                           const EngineSpec& engine,
                           int groups) const;
  // Estimated time until a queued request is granted a slot.
  struct WaitEstimate {
    Duration wait{0};
    // The server whose rate limit determines the wait; empty if none does.
    std::string rate_limited_by;
  };
  // Precondition: the service of the request has an engine.
  WaitEstimate EstimateWait(const SlotRequest& slot_request);
  // Rejects the request if its expected wait is too long. Otherwise returns the
  // time until which it may wait.
  std::optional<MonotonicTime> DecideWait(const SlotRequest& slot_request,
                                          SlotResult* rejection);
  void Dequeue(SlotRequest* slot_request) { this->queue.remove(slot_request); }

  EventLoop* const loop;
  FleetView* const view;
  const ServerLoadCounters counts;
  ServerLimiter* const limiter;
  const std::string failure_domain;
  std::list<SlotRequest*> queue;  // Requests without a slot.
  // Results of ServingGroups() by service and model, for the view's state after
  // `serving_groups_change` changes.
  std::map<std::pair<std::string, std::string>, std::vector<const GroupStatus*>>
      serving_groups;
  std::uint64_t serving_groups_change = 0;
  SlotWaitEstimator wait_estimator;
  int nodes = 1;
  std::minstd_rand generator{std::random_device{}()};
};

}  // namespace kumquatcart

#endif  // ENTRY_GROUP_LOAD_BALANCER_H_
