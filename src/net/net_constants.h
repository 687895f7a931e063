// Figures of the event loop's connections.
#ifndef NET_NET_CONSTANTS_H_
#define NET_NET_CONSTANTS_H_

#include <chrono>
#include <cstddef>

#include "base/clock.h"

namespace kumquatcart {

// Bytes of a coroutine's stack: room for a signal frame with vector registers
// on top of the deepest call.
inline constexpr std::size_t kCoroutineStackBytes = 128 * 1024;

// Bytes read from a socket at once.
inline constexpr std::size_t kReadChunkBytes = 32 * 1024;

// Unread input of one connection at which reading pauses, so that a fast sender
// cannot fill the process's memory.
inline constexpr std::size_t kInputPauseBytes = 128 * 1024;

// How long sent bytes may stay unacknowledged before the kernel gives the
// connection up. Longer than a lossy link's retransmissions, shorter than the
// shortest caller deadline.
inline constexpr std::chrono::milliseconds kUnacknowledgedTimeout{2500};

// Idle connections kept to one endpoint; more are closed when returned.
inline constexpr std::size_t kIdleConnectionsPerEndpoint = 32;

}  // namespace kumquatcart

#endif  // NET_NET_CONSTANTS_H_
