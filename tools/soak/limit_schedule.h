// Makes servers name rate limits for some time.
#ifndef SOAK_LIMIT_SCHEDULE_H_
#define SOAK_LIMIT_SCHEDULE_H_

#include <random>

#include "soak/soak_world.h"

namespace kumquatcart::soak {

// Draws from a seed of its own, so that the faults of a seed stay the same. For
// the event loop's thread.
class LimitSchedule {
 public:
  LimitSchedule(SoakWorld* world, std::uint64_t seed);

  // Limits one server of the kind after the other while `*goes_on`; the others
  // stay without a limit.
  void Run(bool forms_groups, const bool* goes_on, Coroutine yield);

 private:
  SoakWorld* const world;
  std::minstd_rand generator;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_LIMIT_SCHEDULE_H_
