// Reports: each node's own versioned map of entries, replicated to its peers.
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

// Entries of one report by name.
using ReportEntries = std::map<std::string, Json>;

// A topic in which every node writes its own report and reads the others'. Only
// changed entries travel; versions of one reporter only grow, so that merging
// never goes back. Thread safe.
class ReportTopic : public GossipTopic {
 public:
  ReportTopic(std::string name, TopicScope scope, NodeId self);

  // Replaces this node's report. Returns true when it changed; then push.
  bool SetOwn(const ReportEntries& entries);

  // The present reports of all nodes, the own one among them.
  std::map<NodeId, ReportEntries> Reports() const;

  // Forgets the reports of nodes that are not in `reporters`.
  void Retain(const std::set<NodeId>& reporters);

  std::string Name() const override { return this->name; }
  TopicScope Scope() const override { return this->scope; }
  Json Digest() const override;
  Result<Json> DeltaFor(const Json& digest,
                        std::size_t max_bytes) const override;
  Result<bool> Merge(const Json& delta) override;

 private:
  struct Entry {
    Json value;  // Null: removed.
    std::uint64_t version = 0;
  };
  struct Report {
    std::uint64_t version = 0;
    // Removals up to this version are not kept; a peer that is behind it gets
    // the whole report.
    std::uint64_t floor = 0;
    std::map<std::string, Entry> entries;
  };

  static void DropOldRemovals(Report* report);
  static Json ChangesSince(const Report& report, std::uint64_t version);

  const std::string name;
  const TopicScope scope;
  const NodeId self;

  mutable std::mutex mutex;  // Leaf in the lock order.
  std::map<NodeId, Report> reports;
};

}  // namespace kumquatcart

#endif  // PEERS_REPORT_TOPIC_H_
