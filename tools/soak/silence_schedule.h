// Makes processes miss new versions of the configuration.
#ifndef SOAK_SILENCE_SCHEDULE_H_
#define SOAK_SILENCE_SCHEDULE_H_

#include <random>

#include "soak/soak_world.h"

namespace kumquatcart::soak {

// Draws from a seed of its own, so that the faults of a seed stay the same. For
// the event loop's thread.
class SilenceSchedule {
 public:
  SilenceSchedule(SoakWorld* world, std::uint64_t seed);

  // Until `end`, writes a version, so that all reads begin anew, lets the store
  // lose them in a silence, and writes another version when that is over.
  void Run(MonotonicTime end, Coroutine yield);

 private:
  SoakWorld* const world;
  std::minstd_rand generator;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_SILENCE_SCHEDULE_H_
