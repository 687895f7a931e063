// Starts servers again at their addresses, and gives addresses to servers of
// the other service.
#ifndef SOAK_REBIRTH_SCHEDULE_H_
#define SOAK_REBIRTH_SCHEDULE_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/soak_world.h"

namespace kumquatcart::soak {

// Draws from a seed of its own, so that the faults of a seed stay the same. For
// the event loop's thread.
class RebirthSchedule {
 public:
  RebirthSchedule(SoakWorld* world, std::uint64_t seed);

  // Ends one to four servers at once, again and again until `end`, then waits
  // until the last successor has registered.
  void Run(MonotonicTime end, Coroutine yield);

 private:
  // Who has the address next.
  enum class Successor { kNewId, kSameId, kOtherService };
  struct Rebirth {
    ServerStandIn* former = nullptr;
    Successor successor = Successor::kNewId;
    StoreCut cut = StoreCut::kNone;
    Duration until_end{0};  // From the begin of the cut.
    Duration until_start{0};
    Duration until_reconnected{0};
  };

  static const char* ToString(Successor successor);
  int Draw(int low, int high);
  Duration DrawTime(int low_ms, int high_ms);
  // Servers of one kind that end at once; of those that form groups, half of
  // the times all members of one group but its head.
  std::vector<Rebirth> DrawRebirths();
  Rebirth DrawRebirth(ServerStandIn* former);
  void Play(const Rebirth& rebirth, Coroutine yield);

  SoakWorld* const world;
  std::minstd_rand generator;
  int in_progress = 0;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_REBIRTH_SCHEDULE_H_
