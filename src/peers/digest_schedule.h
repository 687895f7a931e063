// Decides which peers a node sends its digest to, and how often.
#ifndef PEERS_DIGEST_SCHEDULE_H_
#define PEERS_DIGEST_SCHEDULE_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "peers/peer_directory.h"

namespace kumquatcart {

// Which part of a node's state a peer needs, and how soon.
enum class DigestAudience {
  // The own failure domain: its collectors, and from a collector its other
  // nodes.
  kOwnCollector,
  kOwnDomain,
  kOtherCollector,  // From a collector: the collectors of other domains.
  kOther,
};

// Removes from `digest` the loads that an audience does not need.
void KeepLoadsFor(DigestAudience audience, NodeDigest* digest);

struct DigestTarget {
  const PeerState* peer = nullptr;  // Never null.
  DigestAudience audience = DigestAudience::kOther;
};

// With few peers, each node sends to every other one often. With many, the
// first nodes of each failure domain collect the digests of their domain, and
// send the sum of its load to the collectors of the other domains and the sum
// of all domains to the nodes of their own. Every node so knows the load of all
// others after two or three short intervals and receives few datagrams,
// whatever the number of nodes. Other digests become rarer as the number of
// peers grows. Not thread safe.
class DigestSchedule {
 public:
  // `peers` must outlive this object.
  explicit DigestSchedule(PeerDirectory* peers) : peers(peers) {}

  // Whether the nodes are so many that loads pass through collectors.
  bool UsesCollectors() const;

  // Whether this node collects the loads of its failure domain.
  bool IsCollector(MonotonicTime now) const;

  // Whether this node sends changes to all peers at once. Otherwise only its
  // collectors need them.
  bool AnnouncesChanges(MonotonicTime now) const;

  // Time between two digests to a peer.
  Duration Interval(DigestAudience audience, MonotonicTime now) const;

  // Minimum time between two rounds that are sent because of a change.
  Duration MinChangeInterval() const;

  // Returns the peers to which a digest is due, and notes that it is sent.
  std::vector<DigestTarget> TakeDue(MonotonicTime now);

  // Returns the peers that receive a change at once, and notes that it is sent.
  // `to_all`: regardless of AnnouncesChanges().
  std::vector<DigestTarget> TakeForChange(bool to_all, MonotonicTime now);

  // The audience to which a peer belongs at present.
  DigestAudience AudienceOf(const std::string& node,
                            const PeerState& peer,
                            MonotonicTime now) const;

 private:
  // Whether this node plans its failure domain or is the next to do so.
  bool IsPlannerCandidate(MonotonicTime now) const;
  std::vector<DigestTarget> Take(bool only_due,
                                 bool only_own_domain,
                                 MonotonicTime now);

  PeerDirectory* const peers;
};

}  // namespace kumquatcart

#endif  // PEERS_DIGEST_SCHEDULE_H_
