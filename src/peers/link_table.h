// The connections of a peer node and their authentication.
#ifndef PEERS_LINK_TABLE_H_
#define PEERS_LINK_TABLE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "model/vm.h"
#include "peers/member_list.h"
#include "peers/peer_message.h"
#include "peers/peer_transport.h"
#include "peers/secure_channel.h"

namespace kumquatcart {

// State of one connection.
struct PeerLink {
  LinkId id = 0;
  bool initiated = false;  // By this node.
  bool open = false;       // Reported open by the transport.
  Endpoint endpoint;       // Remote endpoint; empty if accepted.
  MemberKey peer = 0;      // Zero until the peer is identified.
  bool own_failure_domain = false;
  std::optional<SecureChannel> channel;
  MonotonicTime opened_at;
  MonotonicTime received_at;
  MonotonicTime pinged_at;

  bool IsReady() const { return this->peer != 0; }
};

// Opens, authenticates and closes connections. Rejects all unauthenticated or
// malformed input and counts it by reason. Not thread safe.
class LinkTable {
 public:
  // Precondition: the pointers outlive the table.
  LinkTable(Clock* clock,
            PeerTransport* transport,
            std::string shared_key,
            MetricRegistry* metrics);

  // Opens a connection, unless one to this endpoint is already being
  // established.
  void Connect(const Endpoint& endpoint);

  // Events of the transport.
  void OnOpen(LinkId id, bool initiated);
  void OnClosed(LinkId id);
  // Returns the message in a frame that is authentic and well-formed. Otherwise
  // returns nullopt, counts the reason and closes the connection. Also returns
  // nullopt for the greeting of the handshake.
  std::optional<PeerMessage> OnFrame(LinkId id, const std::string& frame);

  void Send(LinkId id, const PeerMessage& message);
  void Close(LinkId id);

  // Returns the connection, or null if there is none.
  PeerLink* Find(LinkId id);
  // Returns an identified connection to this member, or null.
  PeerLink* FindByPeer(MemberKey peer);
  std::vector<LinkId> ListIds() const;
  // Lists the identified connections.
  std::vector<LinkInfo> ListReady() const;

  // Called when the handshake has progressed far enough to send on a
  // connection, and when a connection has been closed.
  std::function<void(LinkId)> on_established;
  std::function<void(LinkId)> on_link_closed;

 private:
  std::optional<PeerMessage> OpenFrame(PeerLink* link,
                                       const std::string& frame);
  void Refuse(LinkId id, const char* reason);

  Clock* clock;
  PeerTransport* transport;
  std::string shared_key;
  MetricRegistry* metrics;
  Counter* bytes_sent;
  Counter* bytes_received;
  Counter* frames_sent;
  std::map<LinkId, PeerLink> links;
};

}  // namespace kumquatcart

#endif  // PEERS_LINK_TABLE_H_
