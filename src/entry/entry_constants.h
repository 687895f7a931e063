// Figures of the request path on the platform.
#ifndef ENTRY_ENTRY_CONSTANTS_H_
#define ENTRY_ENTRY_CONSTANTS_H_

#include <cstddef>

#include "base/clock.h"

namespace kumquatcart {

// Time to make a connection to a server: several round trips, and one lost
// packet.
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

// How long a kept connection may have been idle to carry a request that can run
// again. One that may run once always gets a new connection: on a kept one, a
// close by the server and a request can cross.
inline constexpr Duration kReuseIdle = std::chrono::seconds(2);

// Taken off a caller's deadline so that the answer arrives before it.
inline constexpr Duration kAnswerMargin = std::chrono::milliseconds(25);

// Time given to a request of a caller that states none.
inline constexpr Duration kDefaultPatience = std::chrono::seconds(8);

// How long a request waits for a process that has just started to read the
// configuration, servers and groups: the store answers within some ten
// milliseconds, and a refused caller would come back later than that.
inline constexpr Duration kStartWait = std::chrono::milliseconds(150);
inline constexpr Duration kStartPoll = std::chrono::milliseconds(5);

// Retry-After while no configuration is known: the store answers by then.
inline constexpr Duration kNoConfigRetry = std::chrono::milliseconds(400);

// Retry-After where another server may take the request at once.
inline constexpr Duration kShortestRetry = std::chrono::milliseconds(100);

// Sends of one request that servers declined, besides those that ran it.
inline constexpr int kMaxDeclined = 2;

// Bytes that wait for a slow caller before its server is read no further.
inline constexpr std::size_t kAnswerBacklogBytes = 128 * 1024;

// Largest answer, or event of a stream, that is held until it is whole: a small
// part of the memory of an entry VM.
inline constexpr std::size_t kWholeAnswerBytes = 8 * 1024 * 1024;

// Largest request that a peer or the platform may send to the own services.
inline constexpr std::size_t kMaxServiceBodyBytes = 512 * 1024;

}  // namespace kumquatcart

#endif  // ENTRY_ENTRY_CONSTANTS_H_
