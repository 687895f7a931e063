// Exchange of topics between entry VMs.
#ifndef PEERS_PEER_NETWORK_H_
#define PEERS_PEER_NETWORK_H_

#include <memory>
#include <string>

#include "peers/gossip_topic.h"

namespace kumquatcart {

// Pushes topics to peers and repairs what pushes missed. All methods are thread
// safe.
class PeerNetwork {
 public:
  virtual ~PeerNetwork() = default;

  // Registers a topic. Precondition: the network is not started and the name is
  // new.
  virtual void AddTopic(std::shared_ptr<GossipTopic> topic) = 0;

  // Says that the topic has news; it is pushed within milliseconds. Unknown
  // names are ignored.
  virtual void PushNow(const std::string& topic) = 0;
};

}  // namespace kumquatcart

#endif  // PEERS_PEER_NETWORK_H_
