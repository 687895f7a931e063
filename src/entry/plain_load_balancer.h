// Load balancing of requests over the servers of plain services.
#ifndef ENTRY_PLAIN_LOAD_BALANCER_H_
#define ENTRY_PLAIN_LOAD_BALANCER_H_

#include <string>

#include "entry/group_load_balancer.h"
#include "routing/failure_score.h"

namespace kumquatcart {

// Assigns each request to the server with the lowest score of load, recent
// failures and distance. Runs on the event loop's thread.
class PlainLoadBalancer {
 public:
  PlainLoadBalancer(EventLoop* loop,
                    FleetView* view,
                    ServerLoadCounters counts,
                    std::string failure_domain)
      : loop(loop),
        view(view),
        counts(counts),
        failure_domain(std::move(failure_domain)) {}

  // Returns a slot at the best server of the service without queueing.
  SlotResult Acquire(const SlotQuery& query);

  void NoteFailure(const std::string& server);
  void NoteSuccess(const std::string& server);

 private:
  EventLoop* const loop;
  FleetView* const view;
  const ServerLoadCounters counts;
  const std::string failure_domain;
  FailureScore failures;
};

}  // namespace kumquatcart

#endif  // ENTRY_PLAIN_LOAD_BALANCER_H_
