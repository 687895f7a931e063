// Default parameters of routing decisions.
#ifndef ROUTING_ROUTING_CONSTANTS_H_
#define ROUTING_ROUTING_CONSTANTS_H_

#include <chrono>
#include <cstddef>

#include "base/clock.h"

namespace kumquatcart {

// Length in bytes of the prompt prefix that determines which backend server
// caches it.
constexpr std::size_t kAffinityPrefixBytes = 256;

// Time for which an InFlightHistory keeps past counts; longer than the age of
// any load report.
constexpr Duration kInFlightHistoryRetention = std::chrono::seconds(5);

// Interval between outlier detections in a pool.
constexpr Duration kOutlierInterval = std::chrono::milliseconds(250);

// Time for which the state of a backend server that is in no pool is kept.
constexpr Duration kBackendStateRetention = std::chrono::minutes(1);

// Retry-After when no backend server can take a request.
constexpr Duration kNoBackendRetryAfter = std::chrono::seconds(1);

// Concurrent requests assumed for a plain service VM.
constexpr int kPlainServiceCapacity = 64;

// Initial weight of a backend server in slow start.
constexpr double kMinSlowStartWeight = 0.1;

}  // namespace kumquatcart

#endif  // ROUTING_ROUTING_CONSTANTS_H_
