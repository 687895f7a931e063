#include "soak/backoff_schedule.h"

#include "base/logging.h"

namespace kumquatcart::soak {

namespace {

constexpr int kPauseMinMs = 200;
constexpr int kPauseMaxMs = 1200;
constexpr int kMinMs = 700;
constexpr int kMaxMs = 4500;
// One of so many times all servers of the kind reject at once.
constexpr int kAllServersOneIn = 5;

}  // namespace

BackoffSchedule::BackoffSchedule(SoakWorld* world, std::uint64_t seed)
    : world(world),
      generator(static_cast<std::minstd_rand::result_type>(
          (seed * 5227 + 17) % 2147483646 + 1)) {}

int BackoffSchedule::Draw(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(this->generator);
}

void BackoffSchedule::Run(bool forms_groups,
                          MonotonicTime end,
                          Coroutine yield) {
  EventLoop& loop = this->world->loop;
  while (loop.Now() < end) {
    loop.Sleep(std::chrono::milliseconds(this->Draw(kPauseMinMs, kPauseMaxMs)),
               yield);
    std::vector<ServerStandIn*> servers =
        this->world->RequestServers(forms_groups);
    if (servers.empty()) {
      continue;
    }
    if (this->Draw(1, kAllServersOneIn) > 1) {
      servers = {servers[static_cast<std::size_t>(
          this->Draw(0, static_cast<int>(servers.size()) - 1))]};
    }
    const Duration wait = std::chrono::milliseconds(this->Draw(kMinMs, kMaxMs));
    const bool towards_all = this->Draw(0, 1) == 0;
    for (ServerStandIn* server : servers) {
      LogInfo("backoff", {{"server", server->Id()},
                          {"ms", ToMillis(wait)},
                          {"towards", towards_all ? "all" : "half"}});
      server->RejectUntil(loop.Now() + wait, towards_all);
    }
    loop.Sleep(wait, yield);
  }
}

}  // namespace kumquatcart::soak
