// Draws faults from a seed and applies them, in series and overlapping.
#ifndef SOAK_FAULT_SCHEDULE_H_
#define SOAK_FAULT_SCHEDULE_H_

#include <random>
#include <string>

#include "soak/soak_world.h"

namespace kumquatcart::soak {

// For the event loop's thread.
class FaultSchedule {
 public:
  // `harms_answers`: harms of the ways to the store include late answers and
  // open connections that are silent for good.
  FaultSchedule(SoakWorld* world, std::uint64_t seed, bool harms_answers);

  // Begins faults until `end`, then waits until all have passed.
  void Run(MonotonicTime end, Coroutine yield);

  int Faults() const { return this->faults; }

 private:
  using Fault = void (FaultSchedule::*)(Coroutine);

  void KillEntry(Coroutine yield);
  void StopEntry(Coroutine yield);
  void PauseEntry(Coroutine yield);
  void ReloadEntry(Coroutine yield);
  void KillAllEntries(Coroutine yield);
  void HarmStore(Coroutine yield);
  void HarmStoreLink(Coroutine yield);
  void HarmServerLink(Coroutine yield);
  void KillServer(Coroutine yield);
  void DrainServer(Coroutine yield);
  void ChangeConfig(Coroutine yield);

  int Draw(int low, int high);
  Duration DrawTime(int low_ms, int high_ms);
  LinkState DrawHarm(bool of_answers);
  EntryChild& DrawEntry();
  // Null when there is none to spare.
  ServerStandIn* DrawServer();
  void Note(const std::string& what) const;

  SoakWorld* const world;
  const bool harms_answers;
  std::minstd_rand generator;
  int faults = 0;
  int in_progress = 0;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_FAULT_SCHEDULE_H_
