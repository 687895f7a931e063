#include "soak/broken_answer_schedule.h"

#include <algorithm>
#include <csignal>

#include "base/logging.h"

namespace kumquatcart::soak {

namespace {

// Large enough that VMs without a bound would repeat more than is allowed.
constexpr double kBrokenShare = 0.95;
// Between two kills: several fall into one window of the retry budget.
constexpr int kShortestLifeMs = 1800;
constexpr int kLongestLifeMs = 2800;
constexpr Duration kPoll = std::chrono::milliseconds(50);

}  // namespace

BrokenAnswerSchedule::BrokenAnswerSchedule(SoakWorld* world, std::uint64_t seed)
    : world(world),
      generator(static_cast<std::minstd_rand::result_type>(
          (seed * 4409 + 29) % 2147483646 + 1)) {}

void BrokenAnswerSchedule::BreakAnswers(double share) const {
  for (ServerStandIn* server : this->world->Servers(/*forms_groups=*/false)) {
    server->BreakAnswers(share);
  }
}

void BrokenAnswerSchedule::Run(MonotonicTime end, Coroutine yield) {
  EventLoop& loop = this->world->loop;
  while (loop.Now() < end) {
    const Duration life =
        std::chrono::milliseconds(std::uniform_int_distribution<int>(
            kShortestLifeMs, kLongestLifeMs)(this->generator));
    const MonotonicTime kill_at = std::min(loop.Now() + life, end);
    while (loop.Now() < kill_at) {
      // Servers that have started meanwhile as well.
      this->BreakAnswers(kBrokenShare);
      loop.Sleep(kPoll, yield);
    }
    if (kill_at < end) {
      LogInfo("fault", {{"what", "kill all beside broken answers"}});
      for (const auto& entry : this->world->entries) {
        entry->Signal(SIGKILL, true);
      }
    }
  }
  this->BreakAnswers(0);
}

}  // namespace kumquatcart::soak
