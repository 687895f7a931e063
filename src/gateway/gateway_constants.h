// Limits and names of the gateway.
#ifndef GATEWAY_GATEWAY_CONSTANTS_H_
#define GATEWAY_GATEWAY_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace kumquatcart {

inline constexpr char kEventStreamType[] = "text/event-stream";

// Attempts of one request, the first included.
constexpr int kMaxAttempts = 4;

// Largest accepted value of the Priority header; the smallest is 0.
constexpr int kMaxPriority = 9;

// Longest accepted Request-Timeout-Ms.
constexpr std::int64_t kMaxRequestTimeoutMs = 3600 * 1000;

// Longest accepted X-Request-Id, Idempotency-Key and bearer token, in bytes.
constexpr std::size_t kMaxIdentifierBytes = 200;

// Largest accepted `max_tokens`.
constexpr int kMaxTokensLimit = 1 << 20;

// `max_tokens` of a request that names none.
constexpr int kDefaultMaxTokens = 256;

// Chunks of one generated answer that may wait for an earlier one.
constexpr std::size_t kMaxHeldChunks = 64;

// Longest line of an engine's answer, in bytes.
constexpr std::size_t kMaxChunkLineBytes = 256 * 1024;

// HTTP clients kept for backend servers before unused ones are dropped.
constexpr std::size_t kMaxUpstreamClients = 2048;

// Transport timeout of the HTTP library; the gateway's own bounds are shorter.
constexpr std::chrono::hours kTransportTimeout{2};

// Retry-After of a refusal whose cause names none, in milliseconds.
constexpr std::int64_t kDefaultRetryAfterMs = 1000;

// Longest wait for the answers of requests that a stop breaks off.
constexpr std::chrono::seconds kStopAnswerTimeout{2};

// Longest wait for the HTTP library to accept or end connections before its
// port is closed.
constexpr std::chrono::seconds kStopPortTimeout{2};

// Time for an answer in progress to end before its connection is cut.
constexpr std::chrono::seconds kStopAnswerGrace{1};

// Audit entries shown by /status.
constexpr std::size_t kStatusAuditEntries = 100;

}  // namespace kumquatcart

#endif  // GATEWAY_GATEWAY_CONSTANTS_H_
