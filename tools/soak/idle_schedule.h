// Changes the idle timeout of callers' connections by new versions.
#ifndef SOAK_IDLE_SCHEDULE_H_
#define SOAK_IDLE_SCHEDULE_H_

#include <random>

#include "soak/soak_world.h"

namespace kumquatcart::soak {

// Draws from a seed of its own, so that the faults of a seed stay the same. For
// the event loop's thread.
class IdleSchedule {
 public:
  IdleSchedule(SoakWorld* world, std::uint64_t seed);

  // Writes versions with a shorter and a longer timeout in turn until `end`.
  void Run(MonotonicTime end, Coroutine yield);

 private:
  SoakWorld* const world;
  std::minstd_rand generator;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_IDLE_SCHEDULE_H_
