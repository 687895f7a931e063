#include "soak/rollback_schedule.h"

#include <algorithm>
#include <csignal>

#include "base/logging.h"
#include "base/scope_guard.h"

namespace kumquatcart::soak {

namespace {

constexpr int kShortestPauseMs = 3000;
constexpr int kLongestPauseMs = 9000;
constexpr int kShortestAwayMs = 300;
constexpr int kLongestAwayMs = 2000;
// Age of the copy that the store comes back from.
constexpr int kYoungestCopyMs = 1000;
constexpr int kOldestCopyMs = 6000;
// Until all that was lost is written again.
constexpr int kLatestRewriteMs = 1000;
constexpr Duration kPoll = std::chrono::milliseconds(20);
// Servers leave for long enough to be seen before a rollback and after it.
constexpr Duration kDrainTime = std::chrono::seconds(8);
constexpr int kShortestDrainPauseMs = 1500;
constexpr int kLongestDrainPauseMs = 4000;
// One rollback in so many kills a process, which then starts while the store
// lacks what was lost.
constexpr int kKillsOneIn = 3;

}  // namespace

RollbackSchedule::RollbackSchedule(SoakWorld* world, std::uint64_t seed)
    : world(world),
      generator(static_cast<std::minstd_rand::result_type>(
          (seed * 4001 + 71) % 2147483646 + 1)),
      drains(static_cast<std::minstd_rand::result_type>(
          (seed * 4003 + 73) % 2147483646 + 1)) {}

int RollbackSchedule::Draw(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(this->generator);
}

Duration RollbackSchedule::DrawTime(int low_ms, int high_ms) {
  return std::chrono::milliseconds(this->Draw(low_ms, high_ms));
}

void RollbackSchedule::Run(MonotonicTime end, Coroutine yield) {
  EventLoop& loop = this->world->loop;
  for (;;) {
    loop.Sleep(this->DrawTime(kShortestPauseMs, kLongestPauseMs), yield);
    if (loop.Now() >= end) {
      return;
    }
    this->RollBack(yield);
  }
}

void RollbackSchedule::RollBack(Coroutine yield) {
  EventLoop& loop = this->world->loop;
  const bool cuts_links = this->Draw(0, 1) == 0;
  const Duration away = this->DrawTime(kShortestAwayMs, kLongestAwayMs);
  const Duration age = this->DrawTime(kYoungestCopyMs, kOldestCopyMs);
  const bool newest_only = this->Draw(0, 1) == 0;
  const bool kills = this->Draw(1, kKillsOneIn) == 1;
  const int killed =
      this->Draw(0, static_cast<int>(this->world->entries.size()) - 1);
  this->world->SetStoreAway(true, cuts_links);
  loop.Sleep(away, yield);
  if (kills) {
    this->world->entries[static_cast<std::size_t>(killed)]->Signal(SIGKILL,
                                                                   true);
  }
  const std::set<std::string> lost =
      this->world->RollStoreBack(age, newest_only);
  this->world->SetStoreAway(false, cuts_links);
  LogInfo("rollback", {{"era", ++this->rollbacks + 1},
                       {"away_ms", ToMillis(away)},
                       {"age_ms", ToMillis(age)},
                       {"cuts_links", cuts_links},
                       {"newest_only", newest_only},
                       {"killed", kills ? killed + 1 : 0},
                       {"lost_entries", lost.size()},
                       {"lost_versions", this->world->LostVersions()}});
  this->RewriteEntries(lost);
  this->RewriteVersions(yield);
  while (this->rewriting > 0) {
    loop.Sleep(kPoll, yield);
  }
}

void RollbackSchedule::RewriteEntries(const std::set<std::string>& servers) {
  for (const std::string& server : servers) {
    ++this->rewriting;
    const Duration wait = this->DrawTime(0, kLatestRewriteMs);
    this->world->loop.Spawn([this, server, wait](Coroutine yield) {
      const ScopeGuard guard([this] { --this->rewriting; });
      this->world->loop.Sleep(wait, yield);
      this->world->RewriteEntry(server);
    });
  }
}

void RollbackSchedule::RewriteVersions(Coroutine yield) {
  const int longest =
      kLatestRewriteMs / std::max(1, this->world->LostVersions());
  while (this->world->LostVersions() > 0) {
    this->world->loop.Sleep(this->DrawTime(0, longest), yield);
    this->world->RewriteVersion();
  }
}

void RollbackSchedule::DrainServers(MonotonicTime end, Coroutine yield) {
  const auto draw = [this](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(this->drains);
  };
  EventLoop& loop = this->world->loop;
  for (;;) {
    loop.Sleep(std::chrono::milliseconds(
                   draw(kShortestDrainPauseMs, kLongestDrainPauseMs)),
               yield);
    if (loop.Now() >= end) {
      return;
    }
    const bool forms_groups = draw(0, 1) == 0;
    const std::vector<ServerStandIn*> servers =
        this->world->RequestServers(forms_groups);
    if (servers.empty()) {
      continue;
    }
    ServerStandIn* server = servers[static_cast<std::size_t>(
        draw(0, static_cast<int>(servers.size()) - 1))];
    LogInfo("drain", {{"server", server->Id()}});
    this->world->AddServer(forms_groups);
    server->Drain(kDrainTime);
  }
}

}  // namespace kumquatcart::soak
