#include "soak/limit_schedule.h"

#include <fmt/format.h>

#include "base/logging.h"

namespace kumquatcart::soak {

namespace {

// Requests per second. Without a limit a server gets ten to thirty.
constexpr double kRates[] = {0.5, 1, 2.5, 6};
constexpr Duration kPause = std::chrono::seconds(1);
constexpr Duration kShortest = std::chrono::seconds(8);
constexpr int kLongerMs = 8000;

}  // namespace

LimitSchedule::LimitSchedule(SoakWorld* world, std::uint64_t seed)
    : world(world),
      generator(static_cast<std::minstd_rand::result_type>(
          (seed * 6007 + 29) % 2147483646 + 1)) {}

void LimitSchedule::Run(bool forms_groups,
                        const bool* goes_on,
                        Coroutine yield) {
  const auto draw = [this](int last) {
    return std::uniform_int_distribution<int>(0, last)(this->generator);
  };
  EventLoop& loop = this->world->loop;
  while (*goes_on) {
    loop.Sleep(kPause, yield);
    const std::vector<ServerStandIn*> servers =
        this->world->RequestServers(forms_groups);
    if (servers.size() < 2) {
      continue;
    }
    ServerStandIn* server = servers[static_cast<std::size_t>(
        draw(static_cast<int>(servers.size()) - 1))];
    const double rate = kRates[draw(static_cast<int>(std::size(kRates)) - 1)];
    LogInfo("limit", {{"server", server->Id()}, {"rate", rate}});
    server->SetLimit(rate);
    loop.Sleep(kShortest + std::chrono::milliseconds(draw(kLongerMs)), yield);
    server->SetLimit(std::nullopt);
  }
}

}  // namespace kumquatcart::soak
