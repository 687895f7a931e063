// Peer network over WebSocket connections.
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

// Runs a PeerNode over WebSocket connections on a dedicated thread. All methods
// are thread safe.
class WebsocketPeerNetwork : public PeerNetwork {
 public:
  // `on_members` is called on the network's thread with each new member table.
  // Precondition: `clock` and `metrics` outlive the network.
  WebsocketPeerNetwork(Clock* clock,
                       MetricRegistry* metrics,
                       const NodeIdentity& identity,
                       std::string shared_key,
                       const PeerSettings& settings,
                       PeerNode::MembersListener on_members);
  ~WebsocketPeerNetwork() override;

  void AddTopic(std::shared_ptr<GossipTopic> topic) override;
  void SchedulePush(const std::string& topic) override;

  // Listens and starts to connect to peers. Errors: kInvalidArgument for
  // invalid settings, kUnavailable if the port is in use. Called once.
  Status Start();

  // Stops the network thread; all connections end. Idempotent.
  void Stop();

  // The local listening port. Precondition: started.
  std::uint16_t ListeningPort() const { return this->port; }

  // Sets the endpoints to try in addition to the seeds; replaces those of the
  // previous call.
  void SetBootstrapEndpoints(std::vector<Endpoint> contacts);

  // Sets the state that this node publishes about itself.
  void SetOwnState(Offset config_offset, bool platform_reachable);

  // Announces to peers that this node leaves.
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

  // Accessed only on the network's thread after it has started.
  std::shared_ptr<WebsocketTransport> transport;
  std::unique_ptr<PeerNode> node;
  std::vector<std::shared_ptr<GossipTopic>> topics;
  bool flush_scheduled = false;

  std::thread thread;
};

}  // namespace kumquatcart

#endif  // PEERS_WEBSOCKET_PEER_NETWORK_H_
