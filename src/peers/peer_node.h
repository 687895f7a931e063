// The protocol between entry VMs, without I/O: membership, probing, topics.
#ifndef PEERS_PEER_NODE_H_
#define PEERS_PEER_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "peers/dissemination.h"
#include "peers/link_table.h"
#include "peers/member_list.h"
#include "peers/overlay.h"
#include "peers/peer_message.h"
#include "peers/peer_settings.h"
#include "peers/peer_transport.h"

namespace kumquatcart {

// Reacts to connections, frames and ticks. It probes the members that the
// overlay assigns to it, suspects those that fall silent, and exchanges topics
// over every connection. Not thread safe: all methods are called on the
// transport's thread.
class PeerNode {
 public:
  using MembersListener = std::function<void(const MemberTable& members)>;

  // Precondition: the pointers outlive the node.
  PeerNode(Clock* clock,
           PeerTransport* transport,
           const NodeIdentity& identity,
           const std::string& shared_key,
           const PeerSettings& settings,
           MetricRegistry* metrics,
           std::uint64_t seed,
           MembersListener on_members);

  Dissemination& Topics() { return this->topics; }

  // Replaces the endpoints where members may be found.
  void SetContacts(std::vector<Endpoint> contacts);

  // Sets what this node says of itself.
  void SetOwn(Offset config_offset, bool platform_reachable);

  // Announces that this node leaves.
  void Leave();

  // Events of the transport.
  void OnOpen(LinkId link, bool initiated);
  void OnClosed(LinkId link);
  void OnFrame(LinkId link, const std::string& frame);

  // Probes, suspects, expires, repairs. Call each `tick_interval`.
  void Tick();

  // Sends news that waits. Call soon after HasNews turns true.
  void Flush();
  bool HasNews() const;

  const MemberList& Members() const { return this->members; }

 private:
  void OnEstablished(LinkId link);
  void OnLinkClosed(LinkId link);

  void Handle(LinkId link, const IdentifyMessage& message);
  void Handle(LinkId link, const PingMessage& message);
  void Handle(LinkId link, const PongMessage& message);
  void Handle(LinkId link, const MembersMessage& message);
  void Handle(LinkId link, const WantMembersMessage& message);
  void Handle(LinkId link, const PushMessage& message);
  void Handle(LinkId link, const DigestMessage& message);

  // Takes note of a merge that concerns `key`, heard on `link`.
  void HandleMergeResult(MergeResult result, MemberKey key, LinkId link);
  // Keeps one connection for each pair of nodes.
  void DropDuplicateLinks(const PeerLink& link);
  void SendAll(const std::vector<OutgoingMessage>& messages);
  void SendUpdates(LinkId link, const std::vector<MemberUpdate>& updates);
  void SendDigest(LinkId link, bool wants_reply);

  void RefreshObserved();
  void ProbeObserved(MonotonicTime now);
  void ProbeOne(MemberKey key, MonotonicTime now);
  // Gives every member fresh time after this process was paused.
  void ResetTimersAfterPause(MonotonicTime now);
  void CloseIdle(MonotonicTime now);
  void ExchangeDigests(MonotonicTime now);
  void TryRejoin(MonotonicTime now);
  void PublishMembers();

  Clock* clock;
  const PeerSettings settings;
  MetricRegistry* metrics;
  std::mt19937_64 random;
  MembersListener on_members;
  MemberList members;
  LinkTable links;
  Dissemination topics;
  std::vector<Endpoint> contacts;

  // Members that the overlay assigns to this node, and when each was heard.
  std::map<MemberKey, MonotonicTime> last_contact_at;
  std::uint64_t observed_version = 0;
  std::uint64_t published_version = 0;

  // Members to tell the peers about: to all of them, or to a few.
  std::set<MemberKey> urgent_updates;
  std::set<MemberKey> deferred_updates;
  MonotonicTime deferred_due;

  MonotonicTime ticked_at;
  MonotonicTime exchange_due;
  MonotonicTime rejoin_due;
};

}  // namespace kumquatcart

#endif  // PEERS_PEER_NODE_H_
