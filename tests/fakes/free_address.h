// Addresses for servers that a test starts later.
#ifndef FAKES_FREE_ADDRESS_H_
#define FAKES_FREE_ADDRESS_H_

#include <unistd.h>

#include <cstdint>

#include "net/event_loop.h"

namespace kumquatcart {

// Returns an address that nothing else binds. The IP address is of loopback and
// belongs to this process, since the kernel gives ports of 127.0.0.1 to other
// tests, to their connections and, once closed, to this one again. Each call
// returns another port below those that the kernel assigns. Not thread-safe.
inline TcpEndpoint FreeAddress() {
  constexpr std::uint32_t kLoopbackNetwork = 127U << 24U;
  constexpr std::uint32_t kOwnAddresses = 1U << 16U;  // Leaves 127.0.x.y out.
  constexpr std::uint32_t kHostMask = (1U << 24U) - 1;
  constexpr std::uint16_t kFirstPort = 10000;
  static std::uint16_t next_port = kFirstPort;
  const auto own = static_cast<std::uint32_t>(getpid()) + kOwnAddresses;
  return TcpEndpoint(
      boost::asio::ip::address_v4(kLoopbackNetwork | (own & kHostMask)),
      next_port++);
}

}  // namespace kumquatcart

#endif  // FAKES_FREE_ADDRESS_H_
