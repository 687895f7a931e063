// Gossip policy for topics: which peers receive a push, when digests are
// announced, and how many bytes repair may send.
#ifndef PEERS_DISSEMINATION_H_
#define PEERS_DISSEMINATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "peers/gossip_topic.h"
#include "peers/peer_message.h"

namespace kumquatcart {

// Identifies a connection within this process.
using LinkId = std::uint64_t;

// An established connection.
struct LinkInfo {
  LinkId id = 0;
  bool same_failure_domain = false;

  auto Tie() const { return std::tie(this->id, this->same_failure_domain); }
};

// A message to send on a connection.
struct OutgoingMessage {
  LinkId link = 0;
  PeerMessage message;
};

struct DisseminationLimits {
  std::size_t push_fanout = 4;
  // Delay before the digest is sent to peers that received no push.
  Duration announce_delay = std::chrono::milliseconds(100);
  // Limit on repair traffic; pushes are not counted.
  std::size_t repair_bytes_per_second = 256 * 1024;
};

// Pushes changes immediately to a few peers whose last known digest differs.
// The other peers receive the digest after a delay and request the changes that
// they still lack. Periodic digest exchange repairs what both paths missed.
// Does no I/O. Not thread safe.
class Dissemination {
 public:
  // Precondition: `metrics` outlives this.
  Dissemination(const DisseminationLimits& bounds,
                MetricRegistry* metrics,
                std::uint64_t seed);

  // Precondition: no topic of this name is registered.
  void AddTopic(std::shared_ptr<GossipTopic> topic);

  // Marks a topic as changed, to be pushed by the next PushChangedTopics.
  // Unknown names are ignored.
  void MarkChanged(const std::string& topic);
  bool HasPendingPushes() const { return !this->changed_topics.empty(); }

  // Returns pushes of the marked topics and clears the marks.
  std::vector<OutgoingMessage> PushChangedTopics(
      MonotonicTime now,
      const std::vector<LinkInfo>& links);

  // Returns the digests whose announcement is due, for peers that received no
  // push.
  std::vector<OutgoingMessage> AnnounceDueDigests(
      MonotonicTime now,
      const std::vector<LinkInfo>& links);

  // Digests of all topics that are exchanged with this peer, by topic name.
  std::map<std::string, Json> DigestsFor(const LinkInfo& link) const;

  // Returns the changes that the peer lacks and, if it requested a reply, the
  // local digests that differ.
  std::vector<OutgoingMessage> OnDigest(const LinkInfo& link,
                                        const DigestMessage& digest,
                                        MonotonicTime now);

  // Merges pushed changes. A malformed push is counted and has no effect.
  std::vector<OutgoingMessage> OnPush(const LinkInfo& link,
                                      const PushMessage& push);

  // Discards the state kept for a closed connection.
  void OnLinkClosed(LinkId link);

 private:
  using TopicName = std::string;

  GossipTopic* FindTopic(const TopicName& name, const LinkInfo& link) const;
  bool MayExchange(const GossipTopic& topic, const LinkInfo& link) const;
  void PushTopic(const GossipTopic& topic,
                 MonotonicTime now,
                 const std::vector<LinkInfo>& links,
                 std::vector<OutgoingMessage>* out);
  // Changes that a peer with digest `their_digest` lacks; null if there are
  // none or the digest is malformed.
  Json DeltaFor(const GossipTopic& topic,
                const Json& their_digest,
                std::size_t max_bytes);
  // Takes `bytes` from the token bucket of repair traffic. Returns false, and
  // takes nothing, if it holds too few.
  bool ConsumeRepairBudget(std::size_t bytes, MonotonicTime now);

  DisseminationLimits bounds;
  std::mt19937_64 random;
  std::map<TopicName, std::shared_ptr<GossipTopic>> topics;
  std::set<TopicName> changed_topics;
  std::map<std::pair<LinkId, TopicName>, Json> peer_digests;
  std::map<std::pair<LinkId, TopicName>, MonotonicTime> announce_at;
  double repair_budget = 0;
  MonotonicTime budget_updated_at{};
  Counter* pushes;
  Counter* repairs;
  Counter* deferred;
  Counter* malformed;
};

}  // namespace kumquatcart

#endif  // PEERS_DISSEMINATION_H_
