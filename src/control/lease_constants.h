// Lease constants that must be equal on every node, and so are not settings.
#ifndef CONTROL_LEASE_CONSTANTS_H_
#define CONTROL_LEASE_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "model/lease.h"

namespace kumquatcart {

// Added to a lease's duration before a claim by another node can take effect.
// Covers the drift between the holder's clock and the platform's clock.
constexpr std::int64_t kLeaseClockMarginMs = 1000;

// Highest fence that a claim may name, in offsets: a billion records, 30 years
// of one a second. A higher one is not plausible and would use up the range of
// epochs.
constexpr FencingNumber kMaxNamedFence = 1'000'000'000;

// Upper bound for the duration in a lease record; longer ones are clamped.
constexpr std::int64_t kMaxLeaseDurationMs = 30'000;

// Age after which a claim may ignore the last record of its failure domain. The
// platform's retention must be longer, so that nodes that read the whole stream
// and nodes that read only the retained records reach the same results.
constexpr std::int64_t kLeaseRecordMaxAgeMs = 600'000;

// Maximum number of records per read of the lease stream.
constexpr std::size_t kLeaseReadBatch = 1000;

// First step, in records, of the backward search for a start offset whose
// record is older than kLeaseRecordMaxAgeMs.
constexpr std::int64_t kLeaseSearchInitialStep = 512;

// Maximum time from sending an order until a receiver can last act on it: the
// order's validity plus its network delay.
constexpr Duration kMaxOrderDelay = std::chrono::seconds(4);

}  // namespace kumquatcart

#endif  // CONTROL_LEASE_CONSTANTS_H_
