// State that entry VMs send to one another several times a second.
#ifndef PEERS_NODE_DIGEST_H_
#define PEERS_NODE_DIGEST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "base/outcome.h"
#include "model/server_limit.h"
#include "platform/topic_batch.h"

namespace kumquatcart {

// Whether a group accepts requests under an epoch, as reported by its planner.
struct GroupAvailability {
  std::string group;
  std::int64_t epoch = 0;
  bool open = false;

  auto Tie() const { return std::tie(this->group, this->epoch, this->open); }
};

// Load of all nodes of a failure domain, summed by one of its collectors.
struct DomainLoad {
  std::string failure_domain;
  int age_ms = 0;                        // Time since it was summed.
  std::map<std::string, int> in_flight;  // Requests by server.
  std::map<std::string, int> unread;     // Their unprocessed prompt tokens.

  auto Tie() const {
    return std::tie(this->failure_domain, this->age_ms, this->in_flight,
                    this->unread);
  }
};

// Load of all nodes, added up by a collector for those of its failure domain.
struct ClusterLoadReport {
  std::map<std::string, int> in_flight;  // Requests by server.
  std::map<std::string, int> unread;     // Their unprocessed prompt tokens.

  auto Tie() const { return std::tie(this->in_flight, this->unread); }
};

// Immutable once sent.
struct NodeDigest {
  std::string node;
  std::string failure_domain;
  int interval_ms = 0;  // Time until the next digest; 0: unknown.
  bool is_stopping = false;
  bool reaches_store = true;
  bool has_traffic = false;  // Has received requests from callers.
  std::int64_t config_version = 0;
  // Indexed by StoreTopic. Negative: not read in `store_era` yet.
  std::vector<std::int64_t> topic_ends;
  std::map<std::string, int> in_flight;  // Requests of this node by server.
  std::map<std::string, int> unread;     // Their unprocessed prompt tokens.
  std::vector<std::string> unreachable;  // Servers that did not respond.
  std::vector<std::string> suspected_servers;  // Servers to be probed.
  std::vector<GroupAvailability> groups;  // Of the failure domains it plans.
  // Some of the limits that it knows. None: a node of a version that does not
  // share limits.
  std::optional<std::vector<ServerLimit>> limits;
  // Only from collectors, to other collectors and to other nodes.
  std::vector<DomainLoad> domain_loads;
  std::optional<ClusterLoadReport> cluster_load;
  StoreEra store_era = 0;  // Of `topic_ends`.
  // Number of records by StoreTopic that are newer than those of the store,
  // which has lost them. Empty: none.
  std::vector<int> retained_records;

  auto Tie() const {
    return std::tie(
        this->node, this->failure_domain, this->interval_ms, this->is_stopping,
        this->reaches_store, this->has_traffic, this->config_version,
        this->topic_ends, this->in_flight, this->unread, this->unreachable,
        this->suspected_servers, this->groups, this->limits, this->domain_loads,
        this->cluster_load, this->store_era, this->retained_records);
  }
};

// Encodes as CBOR. Thread safe.
std::string EncodeDigest(const NodeDigest& digest);

// Errors: kInvalidArgument. Thread safe.
Result<NodeDigest> DecodeDigest(const std::string& bytes);

}  // namespace kumquatcart

#endif  // PEERS_NODE_DIGEST_H_
