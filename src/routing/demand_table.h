// Recent demand of all nodes, replicated by gossip, used to divide shared
// limits between entry VMs.
#ifndef ROUTING_DEMAND_TABLE_H_
#define ROUTING_DEMAND_TABLE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/ids.h"
#include "peers/gossip_topic.h"
#include "routing/quota_split.h"

namespace kumquatcart {

// Key of a demand counter. An empty organisation stands for all organisations.
struct DemandKey {
  ObjectName organisation;
  ServiceName service;

  auto Tie() const { return std::tie(this->organisation, this->service); }
};

// Gossip topic "demand". Each node writes only its own entry; the highest
// version of an entry wins. The entry of an unreachable node is kept for
// `retention`, so that its share is not used on both sides of a network
// partition. Thread safe; its mutex is a leaf in the lock order.
class DemandTable : public GossipTopic {
 public:
  // Precondition: `clock` outlives the table.
  DemandTable(Clock* clock, NodeId self, Duration retention);

  // Adds to the demand of this node in the current interval.
  void Record(const DemandKey& key, double amount);

  // Ends the current interval of this node and updates its published rates, in
  // units per second. Returns whether they changed enough to be pushed.
  bool Publish();

  // Demand of all known nodes for one key; always includes this node.
  DemandByNode Read(const DemandKey& key) const;

  std::string Name() const override;
  Json Digest() const override;
  Result<Json> DeltaFor(const Json& digest,
                        std::size_t max_bytes) const override;
  Result<bool> Merge(const Json& delta) override;

 private:
  using Rates = std::map<DemandKey, double>;

  struct Entry {
    std::int64_t version = 0;
    Rates rates;
    MonotonicTime updated_at;
  };

  void DropExpired();

  Clock* clock;
  const NodeId self;
  const Duration retention;
  mutable std::mutex mutex;
  std::map<NodeId, Entry> entries;
  Rates pending_demand;
  MonotonicTime interval_start;
};

}  // namespace kumquatcart

#endif  // ROUTING_DEMAND_TABLE_H_
