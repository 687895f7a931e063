#include "soak/idle_schedule.h"

#include "base/logging.h"

namespace kumquatcart::soak {

namespace {

// In ascending order; the last one is that of the first version.
constexpr Duration kTimeouts[] = {
    std::chrono::milliseconds(400), std::chrono::milliseconds(800),
    std::chrono::milliseconds(1500), kFirstIdleTimeout};
constexpr int kLast = static_cast<int>(std::size(kTimeouts)) - 1;
constexpr int kShortestMs = 300;
constexpr int kLongestMs = 1500;

}  // namespace

IdleSchedule::IdleSchedule(SoakWorld* world, std::uint64_t seed)
    : world(world),
      generator(static_cast<std::minstd_rand::result_type>(
          (seed * 4999 + 41) % 2147483646 + 1)) {}

void IdleSchedule::Run(MonotonicTime end, Coroutine yield) {
  const auto draw = [this](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(this->generator);
  };
  EventLoop& loop = this->world->loop;
  int current = kLast;
  for (bool longer = false;; longer = !longer) {
    loop.Sleep(std::chrono::milliseconds(draw(kShortestMs, kLongestMs)), yield);
    if (loop.Now() >= end) {
      return;
    }
    current = longer ? draw(current + 1, kLast) : draw(0, current - 1);
    this->world->SetIdleTimeout(kTimeouts[current]);
    const int version = this->world->ChangeConfig();
    LogInfo("idle_timeout", {{"version", version},
                             {"ms", ToMillis(this->world->IdleTimeout())}});
  }
}

}  // namespace kumquatcart::soak
