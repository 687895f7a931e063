// The other entry VMs, and what they last told.
#ifndef PEERS_PEER_DIRECTORY_H_
#define PEERS_PEER_DIRECTORY_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "model/vm.h"
#include "peers/node_digest.h"

namespace kumquatcart {

// Nodes of a failure domain, the first by name, that read every topic of the
// store and speak often: the one that plans, and the one that would take over.
constexpr int kStoreReaders = 2;
// Digests that may be lost in a row before their sender counts as gone.
constexpr int kLostDigests = 3;

struct PeerState {
  Endpoint endpoint;
  std::string failure_domain;
  NodeDigest digest;       // Valid once heard.
  MonotonicTime heard_at;  // Zero: never.
  MonotonicTime sent_at;

  bool IsHeardSince(MonotonicTime oldest) const {
    return this->heard_at >= oldest && this->heard_at != MonotonicTime{};
  }

  // Whether it has been silent for no longer than some lost digests explain.
  bool IsAlive(MonotonicTime now) const;
};

// Decides who plans which failure domain from what peers told. Only the event
// loop's thread uses it.
class PeerDirectory {
 public:
  PeerDirectory(std::string own_node, std::string own_failure_domain)
      : own_node(std::move(own_node)),
        own_failure_domain(std::move(own_failure_domain)) {}

  // Notes a peer's address as the store lists it; own entries are ignored.
  void PutPeer(const std::string& node,
               const std::string& failure_domain,
               const Endpoint& endpoint);

  // Takes a digest from a known peer. False for an unknown one.
  bool Hear(const NodeDigest& digest, MonotonicTime now);

  std::map<std::string, PeerState>& Peers() { return this->peers; }

  // Peers heard lately, with this process.
  int LiveNodes(MonotonicTime now) const;

  // Whether this process plans the groups in `failure_domain`: the first by
  // name of the live nodes there that can write to the store, or of all such
  // nodes where it has none. Two nodes may both believe it for some time; the
  // store lets only one record pass.
  bool Plans(const std::string& failure_domain,
             bool own_reaches_store,
             bool own_is_stopping,
             MonotonicTime now) const;

  // Whether most of the nodes that read the store, the first two by name of
  // each failure domain, do not reach it: it is down, and does not only refuse
  // some of them.
  bool IsStoreDown(bool own_reaches_store, MonotonicTime now) const;

  // Nodes of the own failure domain that come before this process and reach
  // the store.
  int NodesBefore(MonotonicTime now) const;

  // The peer that comes first for `failure_domain` by the same rule, without
  // regard to this process; null where none can plan.
  const PeerState* Planner(const std::string& failure_domain,
                           MonotonicTime now) const;

 private:
  // Nodes of the failure domain go first, then by name.
  using Rank = std::pair<bool, std::string>;

  const std::string own_node;
  const std::string own_failure_domain;
  std::map<std::string, PeerState> peers;
};

}  // namespace kumquatcart

#endif  // PEERS_PEER_DIRECTORY_H_
