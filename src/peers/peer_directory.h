// Directory of the other entry VMs and their latest digests.
#ifndef PEERS_PEER_DIRECTORY_H_
#define PEERS_PEER_DIRECTORY_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "model/vm.h"
#include "peers/node_digest.h"

namespace kumquatcart {

struct PeerState {
  Endpoint endpoint;
  std::string failure_domain;
  double cores = 0;                  // Processor time per second; 0: unknown.
  NodeDigest digest;                 // Valid once one has been received.
  MonotonicTime digest_received_at;  // Zero: none yet.
  MonotonicTime digest_sent_at;
  // Time until the next digest to it, as stated in the last one.
  Duration stated_interval = Duration::max();

  bool HasDigestSince(MonotonicTime oldest) const {
    return this->digest_received_at >= oldest &&
           this->digest_received_at != MonotonicTime{};
  }

  // Returns whether the latest digest is recent enough; tolerates a few lost
  // digests.
  bool IsAlive(MonotonicTime now) const;
};

// Determines from the digests of peers which node has which duty in a failure
// domain. Duties go to the nodes with the most processor time, and by name
// among equal ones. Not thread safe: used on the event loop's thread only.
class PeerDirectory {
 public:
  // `own_cores`: processor time per second of this node.
  PeerDirectory(std::string own_node,
                std::string own_failure_domain,
                double own_cores = 0)
      : own_node(std::move(own_node)),
        own_failure_domain(std::move(own_failure_domain)),
        own_cores(own_cores) {}

  // Adds or updates a peer with its address from the store. Ignores the entry
  // of this node.
  void PutPeer(const std::string& node,
               const std::string& failure_domain,
               const Endpoint& endpoint,
               double cores = 0);

  // Whether this node reaches the store, initially true.
  void SetReachesStore(bool reaches_store);

  // Stores the digest of a known peer. Returns false if the peer is unknown.
  bool AcceptDigest(const NodeDigest& digest, MonotonicTime now);

  std::map<std::string, PeerState>& Peers() { return this->peers; }

  // Endpoints of all peers in name order, starting after this node, so that
  // every node starts with a different peer.
  std::vector<Endpoint> EndpointsFromSuccessor() const;

  // The same of the peers that reach the store, or of all if none is known to.
  std::vector<Endpoint> FindStoreRelays(MonotonicTime now) const;

  // Number of live peers, plus one for this process.
  int CountLiveNodes(MonotonicTime now) const;

  // Number of peers with a digest received since `oldest`, plus one for this
  // process. With `include_silent`, peers without any digest count too.
  int CountNodesSince(MonotonicTime oldest, bool include_silent) const;

  // The node that allocates shared limits of `subject`: the one with the
  // highest rendezvous score of the live nodes that can and are not stopping,
  // or this node if there is none. Nodes that see different peers alive may
  // return different nodes.
  std::string FindCoordinator(const std::string& subject,
                              bool own_is_stopping,
                              MonotonicTime now) const;

  // Returns whether this process plans the groups in `failure_domain`. The
  // planner is the first by rank of the live nodes of that failure domain that
  // can write to the store, or of all such nodes if the failure domain has
  // none. Two nodes may temporarily both be planner; the store accepts the
  // record of only one of them.
  bool IsPlannerFor(const std::string& failure_domain,
                    bool own_reaches_store,
                    bool own_is_stopping,
                    MonotonicTime now) const;

  // Returns whether the store is down, as opposed to refusing only some nodes:
  // true if it is unreachable from most of the nodes that read it, which are
  // the first two by rank of each failure domain.
  bool IsStoreDown(bool own_reaches_store, MonotonicTime now) const;

  // Number of live nodes in the failure domain of this process that come before
  // it for duties at the store: those that reach the store, then by rank. With
  // `include_silent`, nodes without any digest count too.
  int CountPrecedingNodes(MonotonicTime now, bool include_silent = false) const;

  // Number of live nodes in the failure domain of this process that precede it
  // by rank, whether or not they reach the store.
  int CountPrecedingCollectors(MonotonicTime now) const;

  // The first live node by rank of the failure domain of this process, which
  // assigns the slots of its requests. A node that is stopping has no duties
  // unless it is the only one. With `include_silent`, nodes without any digest
  // may precede this one; empty while only they do.
  std::string FindSlotCoordinator(bool own_is_stopping,
                                  bool include_silent,
                                  MonotonicTime now) const;

  // Whether this process is among the first `readers` live nodes of its failure
  // domain, by rank or among those that reach the store. The first by rank go
  // on trying while they do not reach it; the others learn that from them.
  bool IsStoreReader(int readers, MonotonicTime now) const;

  // Number of peers in the failure domain of this process.
  int CountNeighbours() const { return this->neighbours; }

  // Whether this process precedes all live nodes that can plan, regardless of
  // their failure domains.
  bool PrecedesAll(MonotonicTime now) const;

  // Returns the first `count` live peers by rank of each failure domain,
  // leaving out this process. Valid until the next call of a method that is not
  // const.
  const std::set<std::string>& FindFirstPeers(int count,
                                              MonotonicTime now) const;

  const std::string& OwnFailureDomain() const {
    return this->own_failure_domain;
  }

  // Returns the peer that plans `failure_domain` by the rule of IsPlannerFor()
  // if this process is left out; null if no peer can plan.
  const PeerState* FindPlanner(const std::string& failure_domain,
                               MonotonicTime now) const;

 private:
  // Order in which nodes take over the duties of a failure domain: its own
  // nodes before others, then by processor time (negated), then by name.
  using Rank = std::tuple<bool, double, const std::string&>;

  static Rank RankOf(const std::string& node,
                     const PeerState& peer,
                     const std::string& failure_domain) {
    return {peer.failure_domain != failure_domain, -peer.cores, node};
  }
  Rank OwnRank(const std::string& failure_domain) const {
    return {this->own_failure_domain != failure_domain, -this->own_cores,
            this->own_node};
  }

  // Results that are asked for with every digest, each of which would need a
  // pass over all peers. Kept for a short time, by which the death of a peer is
  // noticed later, and until the abilities of a node change.
  struct Duties {
    MonotonicTime found_at;
    std::map<std::string, const PeerState*> planners;  // By failure domain.
    std::optional<int> preceding_nodes;
    std::optional<int> preceding_collectors;
    std::map<int, std::set<std::string>> first_peers;   // By their number.
    std::optional<const std::string*> first_neighbour;  // May hold null.
  };
  Duties& DutiesAt(MonotonicTime now) const;

  // The first live peer by rank of the own failure domain; null if there is
  // none.
  const std::string* FindFirstNeighbour(MonotonicTime now) const;

  std::vector<Endpoint> EndpointsFromSuccessor(
      const std::function<bool(const PeerState&)>& matches) const;

  // Number of peers in the failure domain of this process that match.
  int CountNeighbours(
      const std::function<bool(const std::string&, const PeerState&)>& matches)
      const;

  const std::string own_node;
  const std::string own_failure_domain;
  const double own_cores;
  bool own_reaches_store = true;
  mutable Duties duties;
  std::map<std::string, PeerState> peers;
  int neighbours = 0;  // Peers in the own failure domain.
};

}  // namespace kumquatcart

#endif  // PEERS_PEER_DIRECTORY_H_
