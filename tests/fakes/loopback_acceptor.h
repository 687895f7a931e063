// Listening sockets of tests.
#ifndef FAKES_LOOPBACK_ACCEPTOR_H_
#define FAKES_LOOPBACK_ACCEPTOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace kumquatcart {

// Listens on a free port of loopback. Throws boost::system::system_error if
// there is none.
inline boost::asio::ip::tcp::acceptor ListenOnFreePort(
    boost::asio::io_context* io) {
  // With SO_REUSEADDR two sockets can be given the same ephemeral port; the
  // second one then fails to listen.
  constexpr bool kReuseAddress = false;
  return boost::asio::ip::tcp::acceptor(
      *io, {boost::asio::ip::address_v4::loopback(), 0}, kReuseAddress);
}

}  // namespace kumquatcart

#endif  // FAKES_LOOPBACK_ACCEPTOR_H_
