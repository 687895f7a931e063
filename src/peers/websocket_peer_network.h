// The peer network of an entry VM process.
#ifndef PEERS_WEBSOCKET_PEER_NETWORK_H_
#define PEERS_WEBSOCKET_PEER_NETWORK_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/outcome.h"
#include "model/member.h"
#include "peers/peer_network.h"
#include "peers/peer_node.h"
#include "peers/peer_settings.h"
#include "peers/websocket_transport.h"

namespace kumquatcart {

// Runs a PeerNode over WebSocket connections on a thread of its own. All
// methods are thread safe.
class WebsocketPeerNetwork : public PeerNetwork {
 public:
  // Precondition: `clock` and `metrics` outlive the network. `on_members` is
  // called on the network's thread with each new member table.
  WebsocketPeerNetwork(Clock* clock,
                       MetricRegistry* metrics,
                       const NodeIdentity& identity,
                       std::string shared_key,
                       const PeerSettings& settings,
                       PeerNode::MembersListener on_members);
  ~WebsocketPeerNetwork() override;

  void AddTopic(std::shared_ptr<GossipTopic> topic) override;
  void PushNow(const std::string& topic) override;

  // Listens and begins to look for peers. Errors: kInvalidArgument for bad
  // settings, kUnavailable when the port is taken. Called once.
  Status Start();

  // Ends all connections. Idempotent.
  void Stop();

  // The port listened on, after Start.
  std::uint16_t ListeningPort() const { return this->port; }

  // Adds endpoints where members may be found, beside the seeds; replaces those
  // of the last call.
  void SetContacts(std::vector<Endpoint> contacts);

  // Sets what this node says of itself.
  void SetOwn(Offset config_offset, bool platform_reachable);

  // Announces that this node leaves.
  void Leave();

 private:
  void ScheduleTick();
  void ScheduleFlush();

  Clock* clock;
  MetricRegistry* metrics;
  NodeIdentity identity;
  const std::string shared_key;
  const PeerSettings settings;
  PeerNode::MembersListener on_members;
  std::vector<Endpoint> seeds;
  std::uint16_t port = 0;

  // Used on the network's thread only once it runs.
  std::shared_ptr<WebsocketTransport> transport;
  std::unique_ptr<PeerNode> node;
  std::vector<std::shared_ptr<GossipTopic>> topics;
  bool flush_scheduled = false;

  std::thread thread;
};

}  // namespace kumquatcart

#endif  // PEERS_WEBSOCKET_PEER_NETWORK_H_
