// Makes servers reject requests with a Retry-After for some time.
#ifndef SOAK_BACKOFF_SCHEDULE_H_
#define SOAK_BACKOFF_SCHEDULE_H_

#include <random>

#include "soak/soak_world.h"

namespace kumquatcart::soak {

// Draws from a seed of its own, so that the faults of a seed stay the same. For
// the event loop's thread.
class BackoffSchedule {
 public:
  BackoffSchedule(SoakWorld* world, std::uint64_t seed);

  // Lets servers of the kind reject requests until `end`: one at a time, or all
  // of them, towards all entry VMs or half of them.
  void Run(bool forms_groups, MonotonicTime end, Coroutine yield);

 private:
  int Draw(int low, int high);

  SoakWorld* const world;
  std::minstd_rand generator;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_BACKOFF_SCHEDULE_H_
