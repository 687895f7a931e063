#include "soak/silence_schedule.h"

#include "base/logging.h"

namespace kumquatcart::soak {

namespace {

// From a version until the reads that follow it have begun.
constexpr int kReadsBegunMs = 200;
constexpr int kShortestMs = 300;
constexpr int kLongestMs = 4500;
// Longer than a process may take to have a version.
constexpr Duration kCalm = std::chrono::milliseconds(4500);

}  // namespace

SilenceSchedule::SilenceSchedule(SoakWorld* world, std::uint64_t seed)
    : world(world),
      generator(static_cast<std::minstd_rand::result_type>(
          (seed * 6151 + 67) % 2147483646 + 1)) {}

void SilenceSchedule::Run(MonotonicTime end, Coroutine yield) {
  EventLoop& loop = this->world->loop;
  while (loop.Now() < end) {
    this->world->ChangeConfig();
    loop.Sleep(std::chrono::milliseconds(kReadsBegunMs), yield);
    const int length_ms = std::uniform_int_distribution<int>(
        kShortestMs, kLongestMs)(this->generator);
    this->world->store.SetFault(StoreFault::kSilent);
    loop.Sleep(std::chrono::milliseconds(length_ms), yield);
    this->world->store.SetFault(StoreFault::kNone);
    LogInfo("silence",
            {{"version", this->world->ChangeConfig()}, {"ms", length_ms}});
    loop.Sleep(kCalm, yield);
  }
}

}  // namespace kumquatcart::soak
