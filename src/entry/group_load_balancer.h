// Load balancing and queueing of requests over replica groups.
#ifndef ENTRY_GROUP_LOAD_BALANCER_H_
#define ENTRY_GROUP_LOAD_BALANCER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/fleet_view.h"
#include "entry/server_gate.h"
#include "entry/server_slot.h"
#include "entry/slot_client.h"
#include "entry/slot_query.h"
#include "net/tcp_connection.h"
#include "net/waiter.h"
#include "routing/group_selector.h"
#include "routing/slot_queue_order.h"
#include "routing/slot_wait_estimator.h"

namespace kumquatcart {

// A slot, or the reason why there is none and the Retry-After to send.
struct SlotResult {
  ServerSlotPtr slot;
  Duration retry_after{0};
  const char* reason = "";
  // The server that holds the request back; empty if none does.
  std::string held_back_by;
  // Whether the slot coordinator assigned the slot or rejected the request.
  bool by_coordinator = false;
};

class GroupLoadBalancer;

// A queued request for a slot, of this VM or of a peer. Its destructor removes
// it from the queue. Runs on the event loop's thread.
class SlotRequest {
 public:
  // Called once, with the group that was selected. It may destroy this object.
  using Grant = std::function<void(const GroupRecord& group)>;

  // `balancer` must outlive this object.
  SlotRequest(GroupLoadBalancer* balancer, SlotQuery query, bool is_for_peer);
  ~SlotRequest();
  SlotRequest(const SlotRequest&) = delete;
  SlotRequest& operator=(const SlotRequest&) = delete;

  bool IsGranted() const { return this->is_granted; }
  // Null unless granted, and for a peer.
  ServerSlotPtr Take() { return std::move(this->slot); }

 private:
  friend class GroupLoadBalancer;

  GroupLoadBalancer* const balancer;
  const SlotQuery query;
  const bool is_for_peer;
  const QueuedRequest request;
  Grant grant;
  bool was_tried = false;
  bool is_granted = false;
  ServerSlotPtr slot;
};
using SlotRequestPtr = std::unique_ptr<SlotRequest>;

// Assigns each request to a lightly loaded group of its model: as the slot
// coordinator of the failure domain says, or by the own counts where none
// answers. Queues it when no group has a free slot, and refuses it at once when
// the expected wait exceeds its deadline. Runs on the event loop's thread.
class GroupLoadBalancer {
 public:
  using NowFunction = std::function<MonotonicTime()>;

  GroupLoadBalancer(NowFunction now,
                    FleetView* view,
                    ServerLoadCounters counts,
                    ServerGate* gate,
                    SlotClient* slots,
                    std::string failure_domain)
      : now(std::move(now)),
        view(view),
        counts(counts),
        gate(gate),
        slots(slots),
        failure_domain(std::move(failure_domain)) {}

  // Suspends until a slot is free, `query.wait_until` has passed or `caller`
  // has disconnected. Precondition: `waiter` is attached to `caller`.
  SlotResult Acquire(const SlotQuery& query,
                     TcpConnection* caller,
                     Waiter* waiter,
                     Coroutine yield);

  // Queues a request for a slot that this VM selects and notifies `waiter` when
  // one is granted.
  SlotRequestPtr Enqueue(const SlotQuery& query, Waiter* waiter);

  // The same for a peer. `grant` may be called within this call.
  SlotRequestPtr EnqueueForPeer(const SlotQuery& query,
                                SlotRequest::Grant grant);

  // Rejects the request if its expected wait is too long, or its service has
  // left the configuration. Otherwise returns the time until which it may wait.
  std::optional<MonotonicTime> DecideWait(const SlotRequest& slot_request,
                                          SlotResult* rejection);

  // Whether this VM can select a group of the model for peers: none of them has
  // a rate limit, whose permits are not shared.
  bool CanAssign(const std::string& service, const std::string& model);

  // Notes that a peer has returned a slot of `group`, which may be unknown.
  void HandleRelease(const std::string& group);

  // Assigns free slots to queued requests after groups or loads have changed.
  void AssignFreeSlots();

  // Sets the number of entry VMs that share the groups.
  void SetNodeCount(int nodes) { this->nodes = nodes; }

 private:
  friend class SlotRequest;

  // The query for the slot coordinator, which does not know how this VM is
  // restrained: without groups whose heads hold its requests back. None if
  // there are no others.
  std::optional<SlotQuery> QueryForCoordinator(const SlotQuery& query);
  // Asks the slot coordinator. Returns false if it does not decide.
  bool AcquireFromCoordinator(const SlotQuery& query,
                              TcpConnection* caller,
                              Waiter* waiter,
                              Coroutine yield,
                              SlotResult* result);
  // The slot that the coordinator has granted; null if this VM knows that the
  // group cannot be used.
  ServerSlotPtr TakeGranted(const SlotQuery& query,
                            std::int64_t id,
                            const SlotRequestStatus& grant);
  SlotRequestPtr AddToQueue(SlotRequestPtr slot_request);
  // `id`: by which the slot client knows the slot.
  ServerSlotPtr MakeSlot(const SlotQuery& query,
                         const GroupRecord& record,
                         std::int64_t id);
  // The group to use; null if none has a free slot.
  const GroupStatus* TrySelect(const SlotRequest& slot_request);
  // The group to use of `groups`. Skips those whose head takes no request now.
  const GroupStatus* Select(std::vector<const GroupStatus*> groups,
                            const SlotRequest& slot_request,
                            const EngineSpec& engine);
  // Whether the head of a group takes the request now.
  bool TryPass(const SlotRequest& slot_request, const std::string& head);
  GroupCandidate MakeCandidate(const GroupStatus& group,
                               const SlotQuery& query,
                               const EngineSpec& engine) const;
  // Open groups that serve the query's model and are not excluded.
  std::vector<const GroupStatus*> CandidateGroups(const SlotQuery& query);
  // All open groups that serve a model, valid until the view changes.
  std::vector<const GroupStatus*> ServingGroups(const std::string& service,
                                                const std::string& model);
  // Null if the service has none, or before a configuration has been read.
  const EngineSpec* FindEngine(const std::string& service) const;
  RequestDemand MakeDemand(const SlotQuery& query,
                           const EngineSpec& engine,
                           int groups,
                           bool is_coordinator);
  // Estimated time until a queued request is granted a slot.
  struct WaitEstimate {
    Duration wait{0};
    // The server that holds the request back; empty if the slots do.
    std::string held_back_by;
  };
  // Precondition: the service of the request has an engine.
  WaitEstimate EstimateWait(const SlotRequest& slot_request);
  void Dequeue(SlotRequest* slot_request) { this->queue.remove(slot_request); }

  const NowFunction now;
  FleetView* const view;
  const ServerLoadCounters counts;
  ServerGate* const gate;
  SlotClient* const slots;
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
