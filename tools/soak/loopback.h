// Addresses of the soak's parts on loopback.
#ifndef SOAK_LOOPBACK_H_
#define SOAK_LOOPBACK_H_

#include <string>

#include <boost/asio/ip/address.hpp>

#include "net/event_loop.h"

namespace kumquatcart::soak {

constexpr char kPlatformHost[] = "127.0.1.1";
constexpr char kServersHost[] = "127.0.1.2";

// Listens on a free port of `host`.
inline boost::asio::ip::tcp::acceptor ListenOnFreePort(
    EventLoop* loop,
    const std::string& host) {
  // With SO_REUSEADDR two sockets can be given the same ephemeral port; the
  // second one then fails to listen.
  constexpr bool kReuseAddress = false;
  return boost::asio::ip::tcp::acceptor(
      loop->Context(), TcpEndpoint(boost::asio::ip::make_address(host), 0),
      kReuseAddress);
}

// A port of `host` that nothing uses at this moment.
inline TcpEndpoint FreeLoopbackAddress(EventLoop* loop,
                                       const std::string& host) {
  return ListenOnFreePort(loop, host).local_endpoint();
}

}  // namespace kumquatcart::soak

#endif  // SOAK_LOOPBACK_H_
