// Sizes, limits and timeouts of the event loop and its connections.
#ifndef NET_NET_CONSTANTS_H_
#define NET_NET_CONSTANTS_H_

#include <chrono>
#include <cstddef>

#include "base/clock.h"

namespace kumquatcart {

// Stack size of a coroutine. Leaves room for a signal frame with vector
// registers on top of the deepest call.
inline constexpr std::size_t kCoroutineStackBytes = 128 * 1024;

// Maximum number of bytes per read from a socket.
inline constexpr std::size_t kReadChunkBytes = 32 * 1024;

// Maximum number of bytes per write to a socket.
inline constexpr std::size_t kWriteChunkBytes = 64 * 1024;

// Amount of unconsumed input of one connection at which reading pauses, so that
// a fast sender cannot exhaust the memory of the process.
inline constexpr std::size_t kReadPauseThresholdBytes = 128 * 1024;

// Memory that a connection keeps for input while it has none. Enough for most
// heads.
inline constexpr std::size_t kMaxIdleInputBytes = 4 * 1024;

// Interim responses (1xx) that may precede a response.
inline constexpr int kMaxInterimResponses = 16;

// Largest framing of a chunk with its extensions, and largest trailer section.
inline constexpr std::size_t kMaxChunkFramingBytes = 16 * 1024;

// Largest response body that an HttpClient accepts unless told otherwise.
inline constexpr std::size_t kMaxResponseBodyBytes = 16 * 1024 * 1024;

// Largest sum of the bodies that one HttpClient has received in part. At it,
// only small ones are accepted.
inline constexpr std::size_t kMaxAllResponseBodyBytes = 32 * 1024 * 1024;
inline constexpr std::size_t kSmallResponseBodyBytes = 64 * 1024;

// TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged before the
// kernel drops the connection. Longer than the retransmissions on a lossy link,
// shorter than the shortest caller deadline.
inline constexpr std::chrono::milliseconds kTcpUserTimeout{2500};

// Maximum number of idle connections per endpoint. Connections returned beyond
// it are closed.
inline constexpr std::size_t kMaxIdleConnectionsPerEndpoint = 32;

}  // namespace kumquatcart

#endif  // NET_NET_CONSTANTS_H_
