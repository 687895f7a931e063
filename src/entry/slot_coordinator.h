// Assignment of slots of replica groups for a whole failure domain.
#ifndef ENTRY_SLOT_COORDINATOR_H_
#define ENTRY_SLOT_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "entry/group_load_balancer.h"
#include "entry/slot_network.h"
#include "routing/slot_ledger.h"

namespace kumquatcart {

// Answers the requests for slots of the other entry VMs of this failure domain:
// they are queued together with those of this VM, and each slot is counted from
// its grant on. Any VM answers if it is asked. VMs that ask different ones for
// a moment may together exceed a group's slots. Not thread safe: used on the
// event loop's thread only.
class SlotCoordinator {
 public:
  // The referents of the pointers must outlive this object. `is_ready`: whether
  // servers and groups have been read from the store.
  SlotCoordinator(std::string node,
                  std::string failure_domain,
                  SlotNetwork* network,
                  GroupLoadBalancer* balancer,
                  ServerLoadCounters counts,
                  std::function<bool()> is_ready)
      : node(std::move(node)),
        failure_domain(failure_domain),
        network(network),
        balancer(balancer),
        counts(counts),
        is_ready(std::move(is_ready)),
        ledger(counts.requests, std::move(failure_domain)) {}

  // Replies with a slot, a place in the queue or a rejection. A repeated
  // request gets the state of the first one.
  void HandleAsk(const SlotAsk& ask);

  // Frees the slot, or removes the request from the queue. Unknown ones are
  // ignored.
  void HandleReturn(const SlotReturn& slot);

  // Brings the leases of a node in line with what it holds.
  void HandleReport(const SlotReport& report);

  // Drops requests that have expired and the slots of nodes that are gone.
  void DropStale();

 private:
  using RequestKey = std::pair<std::string, std::int64_t>;  // Node and id.

  struct QueuedAsk {
    SlotRequestPtr request;
    MonotonicTime expires_at;
  };

  void Queue(const RequestKey& key, const SlotAsk& ask);
  void Grant(const RequestKey& key,
             std::int64_t prompt_tokens,
             const GroupRecord& group);
  void Reply(const RequestKey& key, SlotReply reply);

  const std::string node;
  const std::string failure_domain;
  SlotNetwork* const network;
  GroupLoadBalancer* const balancer;
  const ServerLoadCounters counts;
  const std::function<bool()> is_ready;
  SlotLedger ledger;
  std::map<RequestKey, QueuedAsk> queued;
};

}  // namespace kumquatcart

#endif  // ENTRY_SLOT_COORDINATOR_H_
