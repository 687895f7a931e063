#include "peers/peer_directory.h"

#include <algorithm>
#include <utility>

#include "peers/rendezvous.h"

namespace kumquatcart {

namespace {

// A peer is considered dead after this many consecutive missed digests, but not
// before kMinPeerTimeout, the time for which a busy VM may stall.
constexpr int kMaxMissedDigests = 3;
constexpr Duration kMinPeerTimeout = std::chrono::milliseconds(900);

// Number of nodes per failure domain, in name order, that read every topic of
// the store.
constexpr int kStoreReadersPerDomain = 2;

bool CanPlan(const PeerState& peer, MonotonicTime now) {
  return peer.IsAlive(now) && peer.digest.reaches_store &&
         !peer.digest.is_stopping;
}

}  // namespace

bool PeerState::IsAlive(MonotonicTime now) const {
  const Duration silence =
      std::max(kMinPeerTimeout,
               kMaxMissedDigests *
                   std::chrono::duration_cast<Duration>(
                       std::chrono::milliseconds(this->digest.interval_ms)));
  return this->HasDigestSince(now - silence);
}

void PeerDirectory::PutPeer(const std::string& node,
                            const std::string& failure_domain,
                            const Endpoint& endpoint) {
  if (node == this->own_node) {
    return;
  }
  PeerState& peer = this->peers[node];
  peer.endpoint = endpoint;
  peer.failure_domain = failure_domain;
}

bool PeerDirectory::AcceptDigest(const NodeDigest& digest, MonotonicTime now) {
  const auto found = this->peers.find(digest.node);
  if (found == this->peers.end()) {
    return false;
  }
  found->second.digest = digest;
  found->second.digest_received_at = now;
  return true;
}

int PeerDirectory::CountLiveNodes(MonotonicTime now) const {
  return 1 +
         static_cast<int>(std::count_if(
             this->peers.begin(), this->peers.end(),
             [now](const auto& entry) { return entry.second.IsAlive(now); }));
}

int PeerDirectory::CountNodesSince(MonotonicTime oldest,
                                   bool include_silent) const {
  return 1 + static_cast<int>(std::count_if(
                 this->peers.begin(), this->peers.end(),
                 [oldest, include_silent](const auto& entry) {
                   const PeerState& peer = entry.second;
                   return peer.HasDigestSince(oldest) ||
                          (include_silent &&
                           peer.digest_received_at == MonotonicTime{});
                 }));
}

std::string PeerDirectory::FindCoordinator(const std::string& subject,
                                           bool own_is_stopping,
                                           MonotonicTime now) const {
  const std::uint64_t subject_hash = StableHash(subject);
  const auto score = [subject_hash](const std::string& node) {
    return std::pair(RendezvousScore(subject_hash, StableHash(node)), node);
  };
  std::pair<std::uint64_t, std::string> best;
  if (!own_is_stopping) {
    best = score(this->own_node);
  }
  for (const auto& [node, peer] : this->peers) {
    if (peer.IsAlive(now) && !peer.digest.is_stopping && peer.digest.limits) {
      best = std::max(best, score(node));
    }
  }
  return best.second.empty() ? this->own_node : best.second;
}

const PeerState* PeerDirectory::FindPlanner(const std::string& failure_domain,
                                            MonotonicTime now) const {
  const PeerState* planner = nullptr;
  Rank best_rank;
  for (const auto& [node, peer] : this->peers) {
    const Rank rank{peer.failure_domain != failure_domain, node};
    if (CanPlan(peer, now) && (planner == nullptr || rank < best_rank)) {
      planner = &peer;
      best_rank = rank;
    }
  }
  return planner;
}

int PeerDirectory::CountPrecedingNodes(MonotonicTime now) const {
  return static_cast<int>(std::count_if(
      this->peers.begin(), this->peers.end(), [this, now](const auto& entry) {
        const PeerState& peer = entry.second;
        return peer.failure_domain == this->own_failure_domain &&
               entry.first < this->own_node && CanPlan(peer, now);
      }));
}

std::vector<Endpoint> PeerDirectory::EndpointsFromSuccessor() const {
  std::vector<Endpoint> endpoints;
  endpoints.reserve(this->peers.size());
  const auto successor = this->peers.upper_bound(this->own_node);
  for (auto peer = successor; peer != this->peers.end(); ++peer) {
    endpoints.push_back(peer->second.endpoint);
  }
  for (auto peer = this->peers.begin(); peer != successor; ++peer) {
    endpoints.push_back(peer->second.endpoint);
  }
  return endpoints;
}

bool PeerDirectory::IsStoreDown(bool own_reaches_store,
                                MonotonicTime now) const {
  std::map<std::string, std::map<std::string, bool>> by_domain;
  by_domain[this->own_failure_domain][this->own_node] = own_reaches_store;
  for (const auto& [node, peer] : this->peers) {
    if (peer.IsAlive(now) && !peer.digest.is_stopping) {
      by_domain[peer.failure_domain][node] = peer.digest.reaches_store;
    }
  }
  int readers = 0;
  int disconnected = 0;
  for (const auto& domain : by_domain) {
    int counted = 0;
    for (const auto& node : domain.second) {
      if (counted++ == kStoreReadersPerDomain) {
        break;
      }
      ++readers;
      disconnected += node.second ? 0 : 1;
    }
  }
  return 2 * disconnected > readers;
}

bool PeerDirectory::IsPlannerFor(const std::string& failure_domain,
                                 bool own_reaches_store,
                                 bool own_is_stopping,
                                 MonotonicTime now) const {
  if (!own_reaches_store || own_is_stopping) {
    return false;
  }
  const PeerState* other = this->FindPlanner(failure_domain, now);
  const Rank own{this->own_failure_domain != failure_domain, this->own_node};
  return other == nullptr || own < Rank{other->failure_domain != failure_domain,
                                        other->digest.node};
}

}  // namespace kumquatcart
