// Configuration records between entry VMs.
#ifndef CONTROL_CONFIG_TOPIC_H_
#define CONTROL_CONFIG_TOPIC_H_

#include "base/metrics.h"
#include "control/config_replica.h"
#include "peers/gossip_topic.h"

namespace kumquatcart {

// Name of the topic, for PeerNetwork::PushNow.
inline constexpr char kConfigTopicName[] = "config";

// Lets a node that can't reach the log follow through peers. The digest is the
// offset. A delta holds the raw records after it, which the receiver judges
// itself, or a snapshot when the tail no longer reaches back that far. Thread
// safe.
class ConfigTopic : public GossipTopic {
 public:
  // Precondition: `replica` and `metrics` outlive the topic.
  ConfigTopic(ConfigReplica* replica, MetricRegistry* metrics);

  std::string Name() const override;
  Json Digest() const override;
  // A snapshot may exceed `max_bytes`.
  Result<Json> DeltaFor(const Json& digest,
                        std::size_t max_bytes) const override;
  Result<bool> Merge(const Json& delta) override;

 private:
  Result<bool> MergeRecords(const Json& records);
  Result<bool> MergeSnapshot(const Json& snapshot);

  ConfigReplica* const replica;
  Counter& records_received;
  Counter& snapshots_received;
  Counter& snapshots_sent;
};

}  // namespace kumquatcart

#endif  // CONTROL_CONFIG_TOPIC_H_
