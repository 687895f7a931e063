// Defaults of the routing decisions.
#ifndef ROUTING_ROUTING_CONSTANTS_H_
#define ROUTING_ROUTING_CONSTANTS_H_

#include <chrono>
#include <cstddef>

#include "base/clock.h"

namespace kumquatcart {

// Bytes at the start of a prompt that decide which backend server caches it.
constexpr std::size_t kAffinityPrefixBytes = 256;

// How long a ledger remembers past in-flight counts; longer than any load
// report's age.
constexpr Duration kLoadLedgerMemory = std::chrono::seconds(5);

// How often outliers of a pool are recomputed.
constexpr Duration kOutlierInterval = std::chrono::milliseconds(250);

// How long a backend server that is no longer offered is remembered.
constexpr Duration kBackendMemory = std::chrono::minutes(1);

// Retry-After when no backend server can take a request.
constexpr Duration kNoBackendRetryAfter = std::chrono::seconds(1);

// Streams a plain service VM is taken to run at once.
constexpr int kPlainServiceCapacity = 64;

// Smallest part of its weight that a backend server in slow start is given.
constexpr double kSlowStartFloor = 0.1;

}  // namespace kumquatcart

#endif  // ROUTING_ROUTING_CONSTANTS_H_
