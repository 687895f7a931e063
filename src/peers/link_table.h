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

// One connection as the peer node sees it.
struct PeerLink {
  LinkId id = 0;
  bool initiated = false;  // By this node.
  bool open = false;       // The transport reported it open.
  Endpoint endpoint;       // Where it was opened to; empty when accepted.
  MemberKey peer = 0;      // Zero until the peer has identified itself.
  bool own_failure_domain = false;
  std::optional<SecureChannel> channel;
  MonotonicTime opened_at;
  MonotonicTime received_at;
  MonotonicTime pinged_at;

  bool IsReady() const { return this->peer != 0; }
};

// Opens, authenticates and closes connections; everything that a stranger sends
// ends here, counted by reason. Not thread safe.
class LinkTable {
 public:
  // Precondition: the pointers outlive the table.
  LinkTable(Clock* clock,
            PeerTransport* transport,
            std::string shared_key,
            MetricRegistry* metrics);

  // Begins a connection, unless one to this endpoint is under way or open.
  void Connect(const Endpoint& endpoint);

  // Events of the transport.
  void OnOpen(LinkId id, bool initiated);
  void OnClosed(LinkId id);
  // Returns the message that a frame carries, if it is authentic and
  // well-formed; otherwise counts the reason and closes the connection.
  std::optional<PeerMessage> OnFrame(LinkId id, const std::string& frame);

  void Send(LinkId id, const PeerMessage& message);
  void Close(LinkId id);

  // Null when there is none.
  PeerLink* Find(LinkId id);
  // An identified connection to this member, or null.
  PeerLink* FindByPeer(MemberKey peer);
  std::vector<LinkId> ListIds() const;
  // Identified connections.
  std::vector<LinkInfo> ListReady() const;

  // Called when a connection has been authenticated enough to send on it, and
  // when one is gone.
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
