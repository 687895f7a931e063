// Free addresses of this machine.
#ifndef COMMON_LOOPBACK_H_
#define COMMON_LOOPBACK_H_

#include <string>

#include <boost/asio/ip/address.hpp>

#include "net/event_loop.h"

namespace kumquatcart::tools {

// A port of `host` that nothing uses at this moment. For the event loop's
// thread.
inline TcpEndpoint FreeLoopbackAddress(EventLoop* loop,
                                       const std::string& host = "127.0.0.1") {
  boost::asio::ip::tcp::acceptor acceptor(
      loop->Context(), TcpEndpoint(boost::asio::ip::make_address(host), 0));
  return acceptor.local_endpoint();
}

}  // namespace kumquatcart::tools

#endif  // COMMON_LOOPBACK_H_
