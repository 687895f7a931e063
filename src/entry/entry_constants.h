// Time and size limits of the request path.
#ifndef ENTRY_ENTRY_CONSTANTS_H_
#define ENTRY_ENTRY_CONSTANTS_H_

#include <cstddef>

#include "base/clock.h"

namespace kumquatcart {

// Timeout for connecting to a backend server: several round trips and one
// packet loss.
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

// Maximum idle time of a pooled connection that is reused for a request that
// may run more than once. An at-most-once request always gets a new connection:
// on a pooled one, the server may close while the request is in transit, and it
// is then unknown whether the request has run.
inline constexpr Duration kMaxReuseIdleTime = std::chrono::seconds(2);

// Subtracted from a caller's deadline so that the answer arrives in time.
inline constexpr Duration kDeadlineMargin = std::chrono::milliseconds(25);

// Timeout of a request without a deadline from the caller.
inline constexpr Duration kDefaultRequestTimeout = std::chrono::seconds(8);

// How long a request waits, after a process start, until the configuration,
// servers and groups have been read. The store answers within some ten
// milliseconds, whereas a refused caller would retry later than that.
inline constexpr Duration kStartupWait = std::chrono::milliseconds(150);
inline constexpr Duration kStartupPollInterval = std::chrono::milliseconds(5);

// Retry-After while no configuration has been read: the store answers by then.
inline constexpr Duration kNoConfigRetryAfter = std::chrono::milliseconds(400);

// Retry-After when another server may accept the request at once.
inline constexpr Duration kMinForwardRetryAfter =
    std::chrono::milliseconds(100);

// Retries of one request after servers declined it without running it. They do
// not count as attempts of the route.
inline constexpr int kMaxDeclinedRetries = 2;

// Unsent bytes for a slow caller above which its server's answer is not read
// further (backpressure).
inline constexpr std::size_t kMaxUnsentAnswerBytes = 128 * 1024;

// Largest answer, or event of a stream, that is buffered until it is complete:
// a small part of the memory of an entry VM.
inline constexpr std::size_t kMaxBufferedAnswerBytes = 8 * 1024 * 1024;

// Largest sum of all such answers. At it, only small ones are accepted.
inline constexpr std::size_t kMaxAllBufferedAnswerBytes = 64 * 1024 * 1024;
inline constexpr std::size_t kSmallAnswerBytes = 64 * 1024;

// Memory of a caller's connection that waits or is served: the used part of the
// coroutine's stack, a head and paused input.
inline constexpr std::size_t kCallerConnectionBytes = 48 * 1024;

// Age at which a large request that is still being read may be ended to make
// room for others.
inline constexpr Duration kMinReadTime = std::chrono::milliseconds(500);

// Answers to other requests that one attempt skips, and their body bytes.
inline constexpr int kMaxSkippedAnswers = 16;
inline constexpr std::size_t kMaxSkippedBytes = 1024 * 1024;

// Largest answer to a probe or order. A report has a few kilobytes, and probes
// of all servers may be in progress at once.
inline constexpr std::size_t kMaxEngineAnswerBytes = 64 * 1024;

// Largest request body that the process's own HTTP services accept from peers
// and the platform.
inline constexpr std::size_t kMaxServiceBodyBytes = 512 * 1024;

}  // namespace kumquatcart

#endif  // ENTRY_ENTRY_CONSTANTS_H_
