// Load balancing of requests over the servers of plain services.
#ifndef ENTRY_PLAIN_LOAD_BALANCER_H_
#define ENTRY_PLAIN_LOAD_BALANCER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry/group_load_balancer.h"
#include "routing/failure_score.h"

namespace kumquatcart {

// Assigns each request to the server with the lowest score of load, recent
// failures and distance that takes it now. Runs on the event loop's thread.
class PlainLoadBalancer {
 public:
  PlainLoadBalancer(EventLoop* loop,
                    FleetView* view,
                    ServerLoadCounters counts,
                    ServerGate* gate,
                    std::string failure_domain)
      : loop(loop),
        view(view),
        counts(counts),
        gate(gate),
        failure_domain(std::move(failure_domain)) {}

  // Returns a slot at the best server of the service. Suspends only if all
  // servers that could take the request hold it back and one is expected to
  // take it by `query.latest_start`. Precondition: `waiter` is attached to
  // `caller`.
  SlotResult Acquire(const SlotQuery& query,
                     TcpConnection* caller,
                     Waiter* waiter,
                     Coroutine yield);

  // Notifies the requests that are held back.
  void HandleGateOpened();

  // Notes how a request at the server of `slot` ended.
  void NoteFailure(const ServerSlot& slot);
  void NoteSuccess(const ServerSlot& slot);

 private:
  // Servers that could take the request, the best one first. Sets the reason in
  // `result` if there is none.
  std::vector<const BackendServer*> RankServers(const SlotQuery& query,
                                                SlotResult* result) const;
  // A slot at the first server that takes the request now. Without a slot, the
  // result names the server that may take it first, if any.
  SlotResult TryAcquire(const SlotQuery& query, bool is_first_try);
  // Time at which the server should take a request that begins to wait.
  std::optional<MonotonicTime> PassExpectedAt(const std::string& server);

  EventLoop* const loop;
  FleetView* const view;
  const ServerLoadCounters counts;
  ServerGate* const gate;
  const std::string failure_domain;
  FailureScore failures;
  // Requests that are held back, by the server that they wait for.
  std::multimap<std::string, Waiter*> waiting;
};

}  // namespace kumquatcart

#endif  // ENTRY_PLAIN_LOAD_BALANCER_H_
