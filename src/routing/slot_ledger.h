// The slots of replica groups that the nodes of a failure domain hold.
#ifndef ROUTING_SLOT_LEDGER_H_
#define ROUTING_SLOT_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"
#include "routing/cluster_load.h"

namespace kumquatcart {

// A slot that was assigned to a request.
struct SlotLease {
  std::string server;  // Head of the group.
  std::string group;
  std::int64_t epoch = 0;
  MonotonicTime granted_at;

  auto Tie() const {
    return std::tie(this->server, this->group, this->epoch, this->granted_at);
  }
};

// Kept by the slot coordinator. It counts a slot from the grant on, without
// waiting for a report of the node, and keeps the counts of a ClusterLoad up to
// date. Reports of the nodes restore what it does not know, such as slots that
// were assigned before this process became the coordinator, and end leases
// whose return was lost. Not thread safe.
class SlotLedger {
 public:
  // `load` must outlive this object. `failure_domain`: of the nodes.
  SlotLedger(ClusterLoad* load, std::string failure_domain)
      : load(load), failure_domain(std::move(failure_domain)) {}

  // Notes that a slot was assigned to request `id` of `node`.
  void Grant(const std::string& node, std::int64_t id, SlotLease lease);

  // Ends a lease; ignored if there is none.
  void Return(const std::string& node, std::int64_t id, MonotonicTime now);

  // The lease of a request; null if there is none. Valid until the next call.
  const SlotLease* Find(const std::string& node, std::int64_t id) const;

  // Processes all slots that `node` holds, by request. Leases that it does not
  // hold end, except those that may still be on their way to it.
  void AcceptReport(const std::string& node,
                    const std::map<std::int64_t, std::string>& held,
                    MonotonicTime now);

  // Forgets nodes without a report for some time.
  void DropSilent(MonotonicTime now);

  // Number of leases of all nodes.
  std::size_t Size() const;

 private:
  struct NodeLeases {
    std::map<std::int64_t, SlotLease> by_id;
    MonotonicTime reported_at;
  };

  void Adjust(const std::string& node,
              const std::string& server,
              int amount,
              MonotonicTime now);

  ClusterLoad* const load;
  const std::string failure_domain;
  std::map<std::string, NodeLeases> nodes;
};

}  // namespace kumquatcart

#endif  // ROUTING_SLOT_LEDGER_H_
