// Random numbers that follow from a seed.
#ifndef SOAK_SEEDED_RANDOM_H_
#define SOAK_SEEDED_RANDOM_H_

#include <cstdint>
#include <random>

namespace kumquatcart::soak {

// Any seed gives a valid state. Thread safe.
inline std::minstd_rand SeededRandom(std::uint64_t seed) {
  constexpr std::uint64_t kStates = std::minstd_rand::modulus - 1;
  return std::minstd_rand(
      static_cast<std::minstd_rand::result_type>(seed % kStates + 1));
}

}  // namespace kumquatcart::soak

#endif  // SOAK_SEEDED_RANDOM_H_
