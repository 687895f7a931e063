#include "peers/digest_schedule.h"

#include <algorithm>
#include <set>
#include <string>

namespace kumquatcart {

namespace {

// Time between two digests with fewer than kPeersPerInterval peers. It grows by
// as much for each further kPeersPerInterval peers, which bounds the rate at
// which a node receives digests.
constexpr Duration kInterval = std::chrono::milliseconds(150);
constexpr std::size_t kPeersPerInterval = 10;
// Number of peers from which on loads pass through collectors: direct digests
// would arrive later than theirs.
constexpr std::size_t kMinCollectedPeers = 2 * kPeersPerInterval;
// Collectors per failure domain, and nodes that may plan it: the planner and
// the node that takes over if it fails. While the store is reachable, both are
// the same nodes.
constexpr int kCollectors = 2;
// Number of nodes of a failure domain that one collector sends to in kInterval.
constexpr std::size_t kNodesPerInterval = 100;
// Longest time between two digests of a planner candidate to any peer, with few
// peers and with many.
constexpr Duration kPlannerMaxInterval = std::chrono::milliseconds(300);
constexpr Duration kCollectorFarInterval = std::chrono::milliseconds(600);
// Factor on the interval of all other digests where loads pass through
// collectors: what is left in them changes rarely.
constexpr int kFarFactor = 2;
// Minimum time between two rounds because of a change, for each
// kNodesPerInterval peers.
constexpr Duration kMinSendInterval = std::chrono::milliseconds(30);
// A peer that has sent no digest for kSilentAfter receives digests only every
// kSilentInterval.
constexpr Duration kSilentAfter = std::chrono::seconds(3);
constexpr Duration kSilentInterval = std::chrono::seconds(1);
// Timers fire at slightly uneven times; a digest that is due before half of the
// next interval is not left to the next round.
constexpr Duration kDueSlack = kInterval / 2;

DigestAudience ChooseAudience(bool is_own_domain,
                              bool peer_collects,
                              bool own_collects) {
  if (is_own_domain && peer_collects) {
    return DigestAudience::kOwnCollector;
  }
  if (is_own_domain && own_collects) {
    return DigestAudience::kOwnDomain;
  }
  return peer_collects && own_collects ? DigestAudience::kOtherCollector
                                       : DigestAudience::kOther;
}

}  // namespace

void KeepLoadsFor(DigestAudience audience, NodeDigest* digest) {
  std::vector<DomainLoad>& sums = digest->domain_loads;
  if (audience != DigestAudience::kOwnDomain) {
    digest->cluster_load.reset();
  }
  if (audience == DigestAudience::kOtherCollector) {
    sums.erase(std::remove_if(sums.begin(), sums.end(),
                              [digest](const DomainLoad& sum) {
                                return sum.failure_domain !=
                                       digest->failure_domain;
                              }),
               sums.end());
  } else if (audience != DigestAudience::kOwnCollector) {
    sums.clear();
  }
}

bool DigestSchedule::UsesCollectors() const {
  return this->peers->Peers().size() >= kMinCollectedPeers;
}

bool DigestSchedule::IsCollector(MonotonicTime now) const {
  return this->UsesCollectors() &&
         this->peers->CountPrecedingCollectors(now) < kCollectors;
}

bool DigestSchedule::IsPlannerCandidate(MonotonicTime now) const {
  return this->peers->CountPrecedingNodes(now) < kCollectors;
}

bool DigestSchedule::AnnouncesChanges(MonotonicTime now) const {
  return !this->UsesCollectors() || this->IsCollector(now) ||
         this->IsPlannerCandidate(now);
}

Duration DigestSchedule::Interval(DigestAudience audience,
                                  MonotonicTime now) const {
  const std::size_t count = this->peers->Peers().size();
  const auto scaled =
      kInterval * static_cast<int>(1 + count / kPeersPerInterval);
  const bool is_candidate = this->IsPlannerCandidate(now);
  if (!this->UsesCollectors()) {
    return is_candidate ? std::min(scaled, kPlannerMaxInterval) : scaled;
  }
  if (audience == DigestAudience::kOther) {
    return is_candidate ? kCollectorFarInterval : kFarFactor * scaled;
  }
  const auto nearby = static_cast<std::size_t>(this->peers->CountNeighbours());
  return kInterval * static_cast<int>(1 + nearby / kNodesPerInterval);
}

Duration DigestSchedule::MinChangeInterval() const {
  return kMinSendInterval *
         static_cast<int>(1 + this->peers->Peers().size() / kNodesPerInterval);
}

std::vector<DigestTarget> DigestSchedule::TakeDue(MonotonicTime now) {
  return this->Take(/*only_due=*/true, /*only_own_domain=*/false, now);
}

std::vector<DigestTarget> DigestSchedule::TakeForChange(bool to_all,
                                                        MonotonicTime now) {
  return this->Take(/*only_due=*/false, !to_all && !this->AnnouncesChanges(now),
                    now);
}

DigestAudience DigestSchedule::AudienceOf(const std::string& node,
                                          const PeerState& peer,
                                          MonotonicTime now) const {
  return ChooseAudience(
      peer.failure_domain == this->peers->OwnFailureDomain(),
      this->UsesCollectors() &&
          this->peers->FindFirstPeers(kCollectors, now).count(node) > 0,
      this->IsCollector(now));
}

std::vector<DigestTarget> DigestSchedule::Take(bool only_due,
                                               bool only_own_domain,
                                               MonotonicTime now) {
  const bool is_collector = this->IsCollector(now);
  const Duration near_interval =
      this->Interval(DigestAudience::kOwnDomain, now);
  const Duration far_interval = this->Interval(DigestAudience::kOther, now);
  std::set<std::string> collectors;
  if (this->UsesCollectors()) {
    collectors = this->peers->FindFirstPeers(kCollectors, now);
  }
  std::vector<DigestTarget> targets;
  for (auto& [node, peer] : this->peers->Peers()) {
    const DigestAudience audience =
        ChooseAudience(peer.failure_domain == this->peers->OwnFailureDomain(),
                       collectors.count(node) > 0, is_collector);
    if (only_own_domain && audience != DigestAudience::kOwnDomain &&
        audience != DigestAudience::kOwnCollector) {
      continue;
    }
    const Duration interval =
        audience == DigestAudience::kOther ? far_interval : near_interval;
    // A node that has fewer duties than before keeps to what it has stated.
    Duration wait =
        only_due ? std::min(interval, peer.stated_interval) : Duration{0};
    if (!peer.IsAlive(now) && !peer.HasDigestSince(now - kSilentAfter)) {
      wait = std::max(wait, kSilentInterval);
    }
    if (wait > Duration{0} && now + kDueSlack < peer.digest_sent_at + wait) {
      continue;
    }
    peer.stated_interval = interval;
    peer.digest_sent_at = now;
    targets.push_back({&peer, audience});
  }
  return targets;
}

}  // namespace kumquatcart
