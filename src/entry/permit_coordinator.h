// Allocation of rate limits to the entry VMs that request permits.
#ifndef ENTRY_PERMIT_COORDINATOR_H_
#define ENTRY_PERMIT_COORDINATOR_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "entry/permit_network.h"
#include "routing/permit_schedule.h"

namespace kumquatcart {

// The part of a node that hands out permits for the servers that it
// coordinates. Not thread safe: used on the event loop's thread.
class PermitCoordinator {
 public:
  // `network` must outlive this object. `draw` as in PermitSchedule.
  PermitCoordinator(std::string node,
                    PermitNetwork* network,
                    std::function<double()> draw)
      : node(std::move(node)), network(network), schedule(std::move(draw)) {}

  // Answers a request for permits. `limit`: the rate that the server may
  // receive as this node knows it; none if no permit is needed.
  PermitReply Allocate(const PermitRequest& request,
                       const std::optional<PermitRate>& limit);

  // Forgets servers for which no permit was requested since `oldest`.
  void DropUnused(MonotonicTime oldest);

 private:
  // Number of nodes that share the server's rate, including `requester`.
  int CountRequesters(const std::string& server,
                      const std::string& requester,
                      MonotonicTime now);

  const std::string node;
  PermitNetwork* const network;
  PermitSchedule schedule;
  // When each node last requested permits, by server.
  std::map<std::string, std::map<std::string, MonotonicTime>> requesters;
};

}  // namespace kumquatcart

#endif  // ENTRY_PERMIT_COORDINATOR_H_
