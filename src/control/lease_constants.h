// Terms of leases that every node must judge alike; they are no settings.
#ifndef CONTROL_LEASE_CONSTANTS_H_
#define CONTROL_LEASE_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace kumquatcart {

// Added to a lease's duration before a claim of another node takes effect.
// Covers drift between the holder's clock and the platform's.
constexpr std::int64_t kLeaseClockMarginMs = 1000;

// Longest duration that a lease record may ask for; longer ones are cut.
constexpr std::int64_t kMaxLeaseDurationMs = 30'000;

// Age after which a failure domain's last record no longer binds a claim. The
// platform's retention must be longer, so that nodes which read all of the
// stream and nodes which read the retained part judge alike.
constexpr std::int64_t kLeaseRecordMaxAgeMs = 600'000;

// Records per read of the lease stream.
constexpr std::size_t kLeaseReadBatch = 1000;

// First distance of the backward search for the start of the forget window.
constexpr std::int64_t kLeaseSearchInitialStep = 512;

// Longest time between the moment an order is sent and the moment a receiver
// may still act on it: the order's validity plus its time on the network.
constexpr Duration kLongestOrderDelay = std::chrono::seconds(4);

}  // namespace kumquatcart

#endif  // CONTROL_LEASE_CONSTANTS_H_
