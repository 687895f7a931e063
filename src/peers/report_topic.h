// Replication of per-node reports, each a versioned map of entries.
#ifndef PEERS_REPORT_TOPIC_H_
#define PEERS_REPORT_TOPIC_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "base/ids.h"
#include "base/json.h"
#include "peers/gossip_topic.h"

namespace kumquatcart {

// Entries of one report, by key.
using ReportEntries = std::map<std::string, Json>;

// A topic in which each node writes only its own report and reads those of all
// nodes. Deltas hold changed entries only. The version of a report increases
// monotonically, so that a merge never reverts to an older state. Thread safe.
class ReportTopic : public GossipTopic {
 public:
  ReportTopic(std::string name, TopicScope scope, NodeId self);

  // Replaces this node's report. Returns true if it changed; the caller then
  // pushes the topic.
  bool SetOwnReport(const ReportEntries& entries);

  // The current reports of all nodes, including this one.
  std::map<NodeId, ReportEntries> Reports() const;

  // Removes the reports of nodes that are not in `reporters`, except the report
  // of this node.
  void RetainReporters(const std::set<NodeId>& reporters);

  std::string Name() const override { return this->name; }
  TopicScope Scope() const override { return this->scope; }
  Json Digest() const override;
  Result<Json> DeltaFor(const Json& digest,
                        std::size_t max_bytes) const override;
  Result<bool> Merge(const Json& delta) override;

 private:
  struct Entry {
    Json value;  // Null marks a removed entry (tombstone).
    std::uint64_t version = 0;
  };
  struct Report {
    std::uint64_t version = 0;
    // Tombstones up to this version have been discarded; a peer with an older
    // version receives the full report.
    std::uint64_t pruned_version = 0;
    std::map<std::string, Entry> entries;
  };

  // Discards all tombstones once there are more than kMaxTombstones.
  static void PruneTombstones(Report* report);
  // Entries newer than `version`. Tombstones are omitted for version 0, since
  // the receiver then replaces its copy.
  static Json ChangesSince(const Report& report, std::uint64_t version);

  const std::string name;
  const TopicScope scope;
  const NodeId self;

  mutable std::mutex mutex;  // No other lock is taken while it is held.
  std::map<NodeId, Report> reports;
};

}  // namespace kumquatcart

#endif  // PEERS_REPORT_TOPIC_H_
