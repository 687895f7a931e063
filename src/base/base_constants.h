// Constants shared by all layers.
#ifndef BASE_BASE_CONSTANTS_H_
#define BASE_BASE_CONSTANTS_H_

#include <cstddef>
#include <cstdint>

namespace kumquatcart {

constexpr std::int64_t kMillisPerSecond = 1000;

// Random bytes in a generated identifier. With 128 bits, collisions are
// negligible.
constexpr std::size_t kRandomIdBytes = 16;

}  // namespace kumquatcart

#endif  // BASE_BASE_CONSTANTS_H_
