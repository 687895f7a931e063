// Endpoints as the socket library takes them.
#ifndef MODEL_SOCKET_ADDRESS_H_
#define MODEL_SOCKET_ADDRESS_H_

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "model/vm.h"

namespace kumquatcart {

// Precondition for the first two: `endpoint.host` is a numeric address. Thread
// safe.
inline boost::asio::ip::tcp::endpoint ToTcpEndpoint(const Endpoint& endpoint) {
  return {boost::asio::ip::make_address(endpoint.host), endpoint.port};
}

inline boost::asio::ip::udp::endpoint ToUdpEndpoint(const Endpoint& endpoint) {
  return {boost::asio::ip::make_address(endpoint.host), endpoint.port};
}

inline Endpoint ToEndpoint(const boost::asio::ip::tcp::endpoint& endpoint) {
  return {endpoint.address().to_string(), endpoint.port()};
}

}  // namespace kumquatcart

#endif  // MODEL_SOCKET_ADDRESS_H_
