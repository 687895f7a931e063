// Interface of the transport of frames between entry VMs.
#ifndef PEERS_PEER_TRANSPORT_H_
#define PEERS_PEER_TRANSPORT_H_

#include <string>

#include "model/vm.h"
#include "peers/dissemination.h"

namespace kumquatcart {

// Opens connections and sends frames in order. All calls are made on one
// thread, on which events are also reported to the peer node. No method blocks.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  // Opens a connection; success or failure is reported asynchronously.
  virtual LinkId Connect(const Endpoint& endpoint) = 0;

  // Sends a frame; a failure is reported as a closed connection.
  virtual void Send(LinkId link, const std::string& frame) = 0;

  // Closes a connection. No event is reported for it afterwards.
  virtual void Close(LinkId link) = 0;
};

}  // namespace kumquatcart

#endif  // PEERS_PEER_TRANSPORT_H_
