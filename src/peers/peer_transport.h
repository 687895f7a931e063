// Carrier of frames between entry VMs.
#ifndef PEERS_PEER_TRANSPORT_H_
#define PEERS_PEER_TRANSPORT_H_

#include <string>

#include "model/vm.h"
#include "peers/dissemination.h"

namespace kumquatcart {

// Opens connections and sends frames in order. Called on one thread, on which
// it also reports events to the peer node. No method blocks.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  // Begins a connection; its opening or its failure is reported later.
  virtual LinkId Connect(const Endpoint& endpoint) = 0;

  // Sends a frame; failures show as a closed connection.
  virtual void Send(LinkId link, const std::string& frame) = 0;

  // Ends a connection. Nothing is reported for it afterwards.
  virtual void Close(LinkId link) = 0;
};

}  // namespace kumquatcart

#endif  // PEERS_PEER_TRANSPORT_H_
