// Peer protocol between entry VMs, without I/O: membership, probing and topics.
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

// Handles transport events and ticks. Probes the members that the overlay
// assigns to this node, suspects those that are silent, and exchanges topics
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

  // Replaces the endpoints to try for joining the cluster.
  void SetBootstrapEndpoints(std::vector<Endpoint> contacts);

  // Sets the attributes that this node publishes about itself.
  void SetOwnAttributes(Offset config_offset, bool platform_reachable);

  // Marks this node as leaving and queues the update for the peers.
  void Leave();

  // Events of the transport.
  void OnOpen(LinkId link, bool initiated);
  void OnClosed(LinkId link);
  void OnFrame(LinkId link, const std::string& frame);

  // Runs the periodic work: probes, timeouts, digest exchange and repair. Call
  // every `tick_interval`.
  void Tick();

  // Sends pending updates. Call soon after HasPendingPushes() becomes true.
  void PushChangedTopics();
  bool HasPendingPushes() const;

  const MemberList& Members() const { return this->members; }

 private:
  void OnEstablished(LinkId link);
  void OnLinkClosed(LinkId link);

  void Handle(LinkId link, const IdentifyMessage& message);
  void Handle(LinkId link, const PingMessage& message);
  void Handle(LinkId link, const PongMessage& message);
  void Handle(LinkId link, const MembersMessage& message);
  void Handle(LinkId link, const MemberRequestMessage& message);
  void Handle(LinkId link, const PushMessage& message);
  void Handle(LinkId link, const DigestMessage& message);

  // Queues the update about `key` received on `link` for other peers, or
  // replies with a newer one, depending on `result`.
  void HandleMergeResult(MergeResult result, MemberKey key, LinkId link);
  // Keeps a single connection per pair of nodes.
  void DropDuplicateLinks(const PeerLink& link);
  void SendAll(const std::vector<OutgoingMessage>& messages);
  void SendUpdates(LinkId link, const std::vector<MemberUpdate>& updates);
  void SendDigest(LinkId link, bool wants_reply);

  void RefreshObserved();
  void ProbeObserved(MonotonicTime now);
  void ProbeOne(MemberKey key, MonotonicTime now);
  // Restarts the timeouts of all members after this process was paused.
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

  // Last contact with each member that the overlay assigns to this node.
  std::map<MemberKey, MonotonicTime> last_contact_at;
  std::uint64_t observed_version = 0;
  std::uint64_t published_version = 0;

  // Members whose updates are pending: urgent ones are sent to all peers,
  // deferred ones to a few.
  std::set<MemberKey> urgent_updates;
  std::set<MemberKey> deferred_updates;
  MonotonicTime deferred_due;

  MonotonicTime ticked_at;
  MonotonicTime exchange_due;
  MonotonicTime rejoin_due;
};

}  // namespace kumquatcart

#endif  // PEERS_PEER_NODE_H_
