// Recent demand of every node, shared by gossip, for dividing limits between
// entry VMs.
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

// What demand is counted for. An empty organisation stands for all of them.
struct DemandKey {
  ObjectName organisation;
  ServiceName service;

  auto Tie() const { return std::tie(this->organisation, this->service); }
};

// Gossip topic "demand". Each node writes its own entry only; the newest
// version of an entry wins. A node that is no longer heard keeps its part for
// `hold`, so that nodes on both sides of a network partition do not use it
// twice. Thread safe; its mutex is a leaf in the lock order.
class DemandTable : public GossipTopic {
 public:
  // Precondition: `clock` outlives the table.
  DemandTable(Clock* clock, NodeId self, Duration hold);

  // Counts demand of this node.
  void Record(const DemandKey& key, double amount);

  // Closes the present interval of this node and publishes its rates, in units
  // a second. Returns whether they changed enough to be worth a push.
  bool Publish();

  // Demand of every node held for one key; this node is always among them.
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
    MonotonicTime heard_at;
  };

  void DropExpired();

  Clock* clock;
  const NodeId self;
  const Duration hold;
  mutable std::mutex mutex;
  std::map<NodeId, Entry> entries;
  Rates counted;
  MonotonicTime counted_since;
};

}  // namespace kumquatcart

#endif  // ROUTING_DEMAND_TABLE_H_
