// Lets the store come back from older copies of itself.
#ifndef SOAK_ROLLBACK_SCHEDULE_H_
#define SOAK_ROLLBACK_SCHEDULE_H_

#include <random>
#include <set>
#include <string>

#include "soak/soak_world.h"

namespace kumquatcart::soak {

// Draws from a seed of its own, so that the faults of a seed stay the same. For
// the event loop's thread.
class RollbackSchedule {
 public:
  RollbackSchedule(SoakWorld* world, std::uint64_t seed);

  // Begins rollbacks until `end`, then waits until the operator and the servers
  // have written again what the last one lost.
  void Run(MonotonicTime end, Coroutine yield);
  // Lets servers leave until `end`, each after a successor has come.
  void DrainServers(MonotonicTime end, Coroutine yield);

  int Rollbacks() const { return this->rollbacks; }

 private:
  int Draw(int low, int high);
  Duration DrawTime(int low_ms, int high_ms);
  void RollBack(Coroutine yield);
  // Late, and in any order of servers.
  void RewriteEntries(const std::set<std::string>& servers);
  void RewriteVersions(Coroutine yield);

  SoakWorld* const world;
  std::minstd_rand generator;
  std::minstd_rand drains;  // Of the servers that leave.
  int rollbacks = 0;
  int rewriting = 0;  // Entries that are still to be written again.
};

}  // namespace kumquatcart::soak

#endif  // SOAK_ROLLBACK_SCHEDULE_H_
