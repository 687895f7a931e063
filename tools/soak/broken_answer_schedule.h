// Makes plain servers break off answers while all processes are killed again
// and again.
#ifndef SOAK_BROKEN_ANSWER_SCHEDULE_H_
#define SOAK_BROKEN_ANSWER_SCHEDULE_H_

#include <random>

#include "soak/soak_world.h"

namespace kumquatcart::soak {

// Draws from a seed of its own, so that the faults of a seed stay the same. For
// the event loop's thread.
class BrokenAnswerSchedule {
 public:
  BrokenAnswerSchedule(SoakWorld* world, std::uint64_t seed);

  // Returns at `end`, from when on answers are whole.
  void Run(MonotonicTime end, Coroutine yield);

 private:
  void BreakAnswers(double share) const;

  SoakWorld* const world;
  std::minstd_rand generator;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_BROKEN_ANSWER_SCHEDULE_H_
