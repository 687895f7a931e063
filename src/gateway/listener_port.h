// The sockets of one port that the HTTP library listens on.
#ifndef GATEWAY_LISTENER_PORT_H_
#define GATEWAY_LISTENER_PORT_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "base/outcome.h"

namespace kumquatcart {

// Brings a port to rest before its listener is closed. The HTTP library guards
// neither its accepting nor its connections against a close: it frees the
// listener while one of its threads accepts a connection for it or ends one,
// and closes sockets while others start to read from them. It offers no access
// to its sockets, so that they are found among the descriptors of the process.
// Nothing is closed here: a socket that is shut down makes the library end its
// connection by itself. Not thread safe.
class ListenerPort {
 public:
  // The port that this process listens on at `host`, a name or an address.
  // Errors: kNotFound when there is none. Blocks while `host` is resolved.
  static Result<ListenerPort> Find(const std::string& host, std::int64_t port);

  // Drops the packets of connections that the library has not accepted, and
  // waits until it has taken over all those that it has. Returns false when
  // that is not shown within kStopPortTimeout. Connections in use are not
  // affected. Called once; in force until Release or the close.
  bool RefuseConnections();

  // Ends the connections: lets answers in progress end for kStopAnswerGrace,
  // then cuts them. Returns false when the library keeps some for longer than
  // kStopPortTimeout. New ones may follow unless RefuseConnections returned
  // true.
  bool EndConnections();

  // Number of the port's connections that the library holds.
  std::size_t CountConnections() const { return this->Connections().size(); }

  // Lets the port accept again if the library did not close it, as it does only
  // when the process's last listener is closed.
  void Release();

 private:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  ListenerPort(Endpoint address, int listening, ino_t inode)
      : address(std::move(address)), listening(listening), inode(inode) {}

  bool Owns(int descriptor) const;
  std::vector<int> Connections() const;
  void ShutDown(int how) const;

  Endpoint address;
  int listening;  // Owned by the library.
  ino_t inode;    // Of `listening`: tells it from a later one of that number.
};

}  // namespace kumquatcart

#endif  // GATEWAY_LISTENER_PORT_H_
