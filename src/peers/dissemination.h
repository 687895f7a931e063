// Policy by which topics reach every node: whom to push to, when to exchange
// digests, how much repair may send.
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

// Names a connection within this process.
using LinkId = std::uint64_t;

// A connection that is ready for messages.
struct LinkInfo {
  LinkId id = 0;
  bool own_failure_domain = false;

  auto Tie() const { return std::tie(this->id, this->own_failure_domain); }
};

// A message to send on a connection.
struct OutgoingMessage {
  LinkId link = 0;
  PeerMessage message;
};

struct DisseminationBounds {
  std::size_t push_fanout = 4;
  // Peers that got no push are told the digest after this time.
  Duration announce_delay = std::chrono::milliseconds(100);
  // Repair sends at most this much a second, beyond pushes.
  std::size_t repair_bytes_per_second = 256 * 1024;
};

// News is pushed at once to a few peers that are not known to have it; the
// others are told the digest a little later and ask when they still lack it.
// Digests exchanged at an interval repair what both missed. Does no I/O. Not
// thread safe.
class Dissemination {
 public:
  // Precondition: `metrics` outlives this.
  Dissemination(const DisseminationBounds& bounds,
                MetricRegistry* metrics,
                std::uint64_t seed);

  // Precondition: the name is new.
  void AddTopic(std::shared_ptr<GossipTopic> topic);

  // Marks a topic for the next Flush. Unknown names are ignored.
  void MarkNews(const std::string& topic);
  bool HasNews() const { return !this->news.empty(); }

  // Pushes the marked topics.
  std::vector<OutgoingMessage> Flush(MonotonicTime now,
                                     const std::vector<LinkInfo>& links);

  // Announces what some peers were not pushed and are due to be told.
  std::vector<OutgoingMessage> Announce(MonotonicTime now,
                                        const std::vector<LinkInfo>& links);

  // Every digest that goes to this peer.
  std::map<std::string, Json> DigestsFor(const LinkInfo& link) const;

  // Answers a peer's digests with what it lacks, and with the own digests that
  // differ when it asks for them.
  std::vector<OutgoingMessage> OnDigest(const LinkInfo& link,
                                        const DigestMessage& digest,
                                        MonotonicTime now);

  // Takes over news. Malformed news is counted and changes nothing.
  std::vector<OutgoingMessage> OnPush(const LinkInfo& link,
                                      const PushMessage& push);

  // Forgets what a closed connection's peer had.
  void OnLinkClosed(LinkId link);

 private:
  using TopicName = std::string;

  GossipTopic* Find(const TopicName& name, const LinkInfo& link) const;
  bool Allows(const GossipTopic& topic, const LinkInfo& link) const;
  void PushTopic(const GossipTopic& topic,
                 MonotonicTime now,
                 const std::vector<LinkInfo>& links,
                 std::vector<OutgoingMessage>* out);
  // What the peer with `their_digest` lacks, or null.
  Json DeltaFor(const GossipTopic& topic,
                const Json& their_digest,
                std::size_t max_bytes);
  bool Spend(std::size_t bytes, MonotonicTime now);

  DisseminationBounds bounds;
  std::mt19937_64 random;
  std::map<TopicName, std::shared_ptr<GossipTopic>> topics;
  std::set<TopicName> news;
  std::map<std::pair<LinkId, TopicName>, Json> known_digests;
  std::map<std::pair<LinkId, TopicName>, MonotonicTime> announce_at;
  double repair_budget = 0;
  MonotonicTime budget_at{};
  Counter* pushes;
  Counter* repairs;
  Counter* deferred;
  Counter* malformed;
};

}  // namespace kumquatcart

#endif  // PEERS_DISSEMINATION_H_
