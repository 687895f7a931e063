// Writes versions that change how requests are handled.
#ifndef SOAK_CONFIG_SCHEDULE_H_
#define SOAK_CONFIG_SCHEDULE_H_

#include <random>

#include "soak/soak_world.h"

namespace kumquatcart::soak {

// Draws from a seed of its own, so that the faults of a seed stay the same. For
// the event loop's thread.
class ConfigSchedule {
 public:
  ConfigSchedule(SoakWorld* world, std::uint64_t seed);

  // Writes versions until `end`.
  void Run(MonotonicTime end, Coroutine yield);
  // Asks one process, for as long as `goes_on`, about what the newest versions
  // changed, and notes the answers.
  void Watch(EntryChild* entry, const bool* goes_on, Coroutine yield);

 private:
  int Draw(int low, int high);
  ConfigQuestion DrawQuestion();

  SoakWorld* const world;
  std::minstd_rand generator;  // Of the times of versions.
  std::minstd_rand questions;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_CONFIG_SCHEDULE_H_
