// Reports of the work in flight between entry VMs.
#ifndef ENTRY_PEER_LOADS_H_
#define ENTRY_PEER_LOADS_H_

#include <string>

#include "entry/server_slot.h"
#include "peers/node_digest.h"

namespace kumquatcart {

// Puts this VM's counts into its digests and adds those of other VMs to the
// counts. Not thread safe.
class PeerLoads {
 public:
  // The counts must outlive this object.
  PeerLoads(ServerLoadCounters counts, std::string own_failure_domain)
      : counts(counts), own_failure_domain(std::move(own_failure_domain)) {}

  // Sets the counts of `digest`, with the sums of each failure domain if this
  // VM is a collector, and of all in some of the digests: to decode that one
  // costs a node more than all other digests.
  void Report(bool is_collector, MonotonicTime now, NodeDigest* digest);

  // Accepts the counts of a peer's digest. A collector ignores sums that
  // include its own failure domain, since the digests of the domain's nodes are
  // newer.
  void Accept(const NodeDigest& digest, bool is_collector, MonotonicTime now);

 private:
  void AcceptSum(const DomainLoad& sum, bool is_own, MonotonicTime now);

  const ServerLoadCounters counts;
  const std::string own_failure_domain;
  MonotonicTime cluster_load_sent_at;
};

}  // namespace kumquatcart

#endif  // ENTRY_PEER_LOADS_H_
