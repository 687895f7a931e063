#include "peers/peer_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "peers/rendezvous.h"

namespace kumquatcart {

namespace {

// A peer is considered dead after this many consecutive missed digests, but not
// before kMinPeerTimeout, the time for which a busy VM may stall.
constexpr int kMaxMissedDigests = 3;
constexpr Duration kMinPeerTimeout = std::chrono::milliseconds(900);

// Number of nodes per failure domain, by rank, that read every topic of the
// store.
constexpr int kStoreReadersPerDomain = 2;

// Time for which the duties found are used again; short against
// kMinPeerTimeout.
constexpr Duration kDutiesLifetime = std::chrono::milliseconds(100);

bool IsServing(const PeerState& peer, MonotonicTime now) {
  return peer.IsAlive(now) && !peer.digest.is_stopping;
}

bool CanPlan(const PeerState& peer, MonotonicTime now) {
  return IsServing(peer, now) && peer.digest.reaches_store;
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
                            const Endpoint& endpoint,
                            double cores) {
  if (node == this->own_node) {
    return;
  }
  const auto [known, is_new] = this->peers.try_emplace(node);
  PeerState& peer = known->second;
  if (!is_new && peer.failure_domain == this->own_failure_domain) {
    --this->neighbours;
  }
  if (failure_domain == this->own_failure_domain) {
    ++this->neighbours;
  }
  peer.endpoint = endpoint;
  peer.failure_domain = failure_domain;
  peer.cores = cores;
  this->duties = Duties{};
}

void PeerDirectory::SetReachesStore(bool reaches_store) {
  if (this->own_reaches_store != reaches_store) {
    this->own_reaches_store = reaches_store;
    this->duties = Duties{};
  }
}

PeerDirectory::Duties& PeerDirectory::DutiesAt(MonotonicTime now) const {
  if (now < this->duties.found_at ||
      now - this->duties.found_at >= kDutiesLifetime) {
    this->duties = Duties{};
    this->duties.found_at = now;
  }
  return this->duties;
}

bool PeerDirectory::AcceptDigest(const NodeDigest& digest, MonotonicTime now) {
  const auto found = this->peers.find(digest.node);
  if (found == this->peers.end()) {
    return false;
  }
  PeerState& peer = found->second;
  const auto abilities = [&peer, now] {
    return std::pair(IsServing(peer, now), CanPlan(peer, now));
  };
  const auto before = abilities();
  peer.digest = digest;
  peer.digest_received_at = now;
  if (before != abilities()) {
    this->duties = Duties{};
  }
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
  Duties& known = this->DutiesAt(now);
  const auto [result, is_new] = known.planners.try_emplace(failure_domain);
  if (!is_new) {
    return result->second;
  }
  auto planner = this->peers.end();
  for (auto entry = this->peers.begin(); entry != this->peers.end(); ++entry) {
    if (CanPlan(entry->second, now) &&
        (planner == this->peers.end() ||
         RankOf(entry->first, entry->second, failure_domain) <
             RankOf(planner->first, planner->second, failure_domain))) {
      planner = entry;
    }
  }
  if (planner != this->peers.end()) {
    result->second = &planner->second;
  }
  return result->second;
}

int PeerDirectory::CountNeighbours(
    const std::function<bool(const std::string&, const PeerState&)>& matches)
    const {
  return static_cast<int>(std::count_if(
      this->peers.begin(), this->peers.end(), [&](const auto& entry) {
        return entry.second.failure_domain == this->own_failure_domain &&
               matches(entry.first, entry.second);
      }));
}

int PeerDirectory::CountPrecedingNodes(MonotonicTime now,
                                       bool include_silent) const {
  Duties& known = this->DutiesAt(now);
  if (!include_silent && known.preceding_nodes) {
    return *known.preceding_nodes;
  }
  const std::pair own(!this->own_reaches_store,
                      this->OwnRank(this->own_failure_domain));
  const int count = this->CountNeighbours(
      [&](const std::string& node, const PeerState& peer) {
        const bool is_silent = peer.digest_received_at == MonotonicTime{};
        const std::pair rank(!is_silent && !peer.digest.reaches_store,
                             RankOf(node, peer, this->own_failure_domain));
        return rank < own &&
               (IsServing(peer, now) || (include_silent && is_silent));
      });
  if (!include_silent) {
    known.preceding_nodes = count;
  }
  return count;
}

int PeerDirectory::CountPrecedingCollectors(MonotonicTime now) const {
  Duties& known = this->DutiesAt(now);
  if (!known.preceding_collectors) {
    const Rank own = this->OwnRank(this->own_failure_domain);
    known.preceding_collectors = this->CountNeighbours(
        [&](const std::string& node, const PeerState& peer) {
          return RankOf(node, peer, this->own_failure_domain) < own &&
                 IsServing(peer, now);
        });
  }
  return *known.preceding_collectors;
}

const std::string* PeerDirectory::FindFirstNeighbour(MonotonicTime now) const {
  Duties& known = this->DutiesAt(now);
  if (!known.first_neighbour) {
    auto first = this->peers.end();
    for (auto entry = this->peers.begin(); entry != this->peers.end();
         ++entry) {
      const PeerState& peer = entry->second;
      if (peer.failure_domain == this->own_failure_domain &&
          IsServing(peer, now) &&
          (first == this->peers.end() ||
           RankOf(entry->first, peer, this->own_failure_domain) <
               RankOf(first->first, first->second, this->own_failure_domain))) {
        first = entry;
      }
    }
    known.first_neighbour =
        first == this->peers.end() ? nullptr : &first->first;
  }
  return *known.first_neighbour;
}

std::string PeerDirectory::FindSlotCoordinator(bool own_is_stopping,
                                               bool include_silent,
                                               MonotonicTime now) const {
  const Rank own = this->OwnRank(this->own_failure_domain);
  const std::string* first = this->FindFirstNeighbour(now);
  if (first != nullptr &&
      (own_is_stopping || RankOf(*first, this->peers.at(*first),
                                 this->own_failure_domain) < own)) {
    return *first;
  }
  const bool is_preceded =
      include_silent && this->CountNeighbours([&](const std::string& node,
                                                  const PeerState& peer) {
        return peer.digest_received_at == MonotonicTime{} &&
               RankOf(node, peer, this->own_failure_domain) < own;
      }) > 0;
  return is_preceded ? std::string() : this->own_node;
}

bool PeerDirectory::IsStoreReader(int readers, MonotonicTime now) const {
  return this->CountPrecedingNodes(now) < readers ||
         this->CountPrecedingCollectors(now) < readers;
}

bool PeerDirectory::PrecedesAll(MonotonicTime now) const {
  const Rank own = this->OwnRank(this->own_failure_domain);
  return std::none_of(
      this->peers.begin(), this->peers.end(), [&](const auto& entry) {
        const PeerState& peer = entry.second;
        return RankOf(entry.first, peer, peer.failure_domain) < own &&
               CanPlan(peer, now);
      });
}

const std::set<std::string>& PeerDirectory::FindFirstPeers(
    int count,
    MonotonicTime now) const {
  const auto [result, is_new] =
      this->DutiesAt(now).first_peers.try_emplace(count);
  if (!is_new) {
    return result->second;
  }
  // By failure domain, in the order of their ranks.
  std::map<std::string, std::set<std::pair<double, std::string>>> first;
  for (const auto& [node, peer] : this->peers) {
    if (!IsServing(peer, now)) {
      continue;
    }
    auto& chosen = first[peer.failure_domain];
    chosen.emplace(-peer.cores, node);
    if (chosen.size() > static_cast<std::size_t>(count)) {
      chosen.erase(std::prev(chosen.end()));
    }
  }
  for (const auto& domain : first) {
    for (const auto& ranked : domain.second) {
      result->second.insert(ranked.second);
    }
  }
  return result->second;
}

std::vector<Endpoint> PeerDirectory::EndpointsFromSuccessor() const {
  return this->EndpointsFromSuccessor([](const PeerState&) { return true; });
}

std::vector<Endpoint> PeerDirectory::EndpointsFromSuccessor(
    const std::function<bool(const PeerState&)>& matches) const {
  std::vector<Endpoint> endpoints;
  const auto successor = this->peers.upper_bound(this->own_node);
  const auto add = [&](const auto& entry) {
    if (matches(entry.second)) {
      endpoints.push_back(entry.second.endpoint);
    }
  };
  std::for_each(successor, this->peers.end(), add);
  std::for_each(this->peers.begin(), successor, add);
  return endpoints;
}

std::vector<Endpoint> PeerDirectory::FindStoreRelays(MonotonicTime now) const {
  std::vector<Endpoint> relays = this->EndpointsFromSuccessor(
      [now](const PeerState& peer) { return CanPlan(peer, now); });
  return relays.empty() ? this->EndpointsFromSuccessor() : relays;
}

bool PeerDirectory::IsStoreDown(bool own_reaches_store,
                                MonotonicTime now) const {
  std::map<std::string, std::map<std::pair<double, std::string>, bool>>
      by_domain;
  by_domain[this->own_failure_domain][{-this->own_cores, this->own_node}] =
      own_reaches_store;
  for (const std::string& node :
       this->FindFirstPeers(kStoreReadersPerDomain, now)) {
    const PeerState& peer = this->peers.at(node);
    by_domain[peer.failure_domain][{-peer.cores, node}] =
        peer.digest.reaches_store;
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
  return other == nullptr ||
         this->OwnRank(failure_domain) <
             RankOf(other->digest.node, *other, failure_domain);
}

}  // namespace kumquatcart
