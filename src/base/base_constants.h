// Units and limits shared by every layer.
#ifndef BASE_BASE_CONSTANTS_H_
#define BASE_BASE_CONSTANTS_H_

#include <cstddef>
#include <cstdint>

namespace kumquatcart {

// Milliseconds in one second.
constexpr std::int64_t kMillisPerSecond = 1000;

// Random bytes in a generated identifier; 128 bits make collisions negligible.
constexpr std::size_t kRandomIdBytes = 16;

}  // namespace kumquatcart

#endif  // BASE_BASE_CONSTANTS_H_
