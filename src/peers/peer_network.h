// Replication of topics between entry VMs.
#ifndef PEERS_PEER_NETWORK_H_
#define PEERS_PEER_NETWORK_H_

#include <memory>
#include <string>

#include "peers/gossip_topic.h"

namespace kumquatcart {

// Replicates topics to peers by pushes and periodic repair. All methods are
// thread safe.
class PeerNetwork {
 public:
  virtual ~PeerNetwork() = default;

  // Registers a topic. Precondition: the network is not started and no topic of
  // this name is registered.
  virtual void AddTopic(std::shared_ptr<GossipTopic> topic) = 0;

  // Schedules a push of a changed topic within milliseconds. Unknown names are
  // ignored.
  virtual void SchedulePush(const std::string& topic) = 0;
};

}  // namespace kumquatcart

#endif  // PEERS_PEER_NETWORK_H_
