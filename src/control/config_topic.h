// Exchange of configuration records between entry VMs.
#ifndef CONTROL_CONFIG_TOPIC_H_
#define CONTROL_CONFIG_TOPIC_H_

#include <mutex>

#include "base/metrics.h"
#include "control/config_replica.h"
#include "control/snapshot_parts.h"
#include "peers/gossip_topic.h"

namespace kumquatcart {

// Topic name for PeerNetwork::SchedulePush.
inline constexpr char kConfigTopicName[] = "config";

// Replicates the configuration from peers to nodes that can't reach the log.
// The digest contains the place and the progress of a snapshot transfer. A
// delta contains the raw records after that place, which the receiver evaluates
// itself, or the next part of a snapshot when the sender's tail begins later or
// the place is of a history that the log lost. Thread safe.
class ConfigTopic : public GossipTopic {
 public:
  // Precondition: `replica` and `metrics` outlive the topic.
  ConfigTopic(ConfigReplica* replica, MetricRegistry* metrics);

  std::string Name() const override;
  Json Digest() const override;
  Result<Json> DeltaFor(const Json& digest,
                        std::size_t max_bytes) const override;
  Result<bool> Merge(const Json& delta) override;

 private:
  Result<bool> MergeRecords(const Json& delta);
  Result<bool> MergePart(const Json& part);

  ConfigReplica* const replica;
  Counter& records_received;
  Counter& snapshots_received;
  Counter& parts_sent;

  // Guards the fields below; acquired before the replica's lock.
  mutable std::mutex mutex;
  mutable SnapshotSplitter splitter;
  SnapshotAssembler assembler;
};

}  // namespace kumquatcart

#endif  // CONTROL_CONFIG_TOPIC_H_
