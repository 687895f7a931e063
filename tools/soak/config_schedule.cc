#include "soak/config_schedule.h"

#include <algorithm>

#include "base/logging.h"

namespace kumquatcart::soak {

namespace {

constexpr int kShortestMs = 100;
constexpr int kLongestMs = 4000;
// Between an answer and the next question to the same process.
constexpr int kShortestPauseMs = 20;
constexpr int kLongestPauseMs = 120;
// Questions are about what the newest so many versions changed.
constexpr int kVersionsAskedFor = 4;
// Undisturbed time before a question whose answer is bound to versions.
constexpr Duration kStable = std::chrono::milliseconds(3000);

}  // namespace

ConfigSchedule::ConfigSchedule(SoakWorld* world, std::uint64_t seed)
    : world(world),
      generator(static_cast<std::minstd_rand::result_type>(
          (seed * 5003 + 53) % 2147483646 + 1)),
      questions(static_cast<std::minstd_rand::result_type>(
          (seed * 5021 + 59) % 2147483646 + 1)) {}

void ConfigSchedule::Run(MonotonicTime end, Coroutine yield) {
  EventLoop& loop = this->world->loop;
  for (;;) {
    loop.Sleep(std::chrono::milliseconds(std::uniform_int_distribution<int>(
                   kShortestMs, kLongestMs)(this->generator)),
               yield);
    if (loop.Now() >= end) {
      return;
    }
    LogInfo("config_change", {{"version", this->world->ChangeConfig()}});
  }
}

int ConfigSchedule::Draw(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(this->questions);
}

ConfigQuestion ConfigSchedule::DrawQuestion() {
  const std::vector<ConfigVersion>& versions =
      this->world->config_ledger.Versions();
  const int newest = static_cast<int>(versions.size()) - 1;
  const int pick =
      this->Draw(std::max(0, newest - kVersionsAskedFor + 1), newest);
  const std::vector<ConfigQuestion>& choice =
      versions[static_cast<std::size_t>(pick)].questions;
  return choice[static_cast<std::size_t>(
      this->Draw(0, static_cast<int>(choice.size()) - 1))];
}

void ConfigSchedule::Watch(EntryChild* entry,
                           const bool* goes_on,
                           Coroutine yield) {
  while (*goes_on) {
    this->world->loop.Sleep(std::chrono::milliseconds(
                                this->Draw(kShortestPauseMs, kLongestPauseMs)),
                            yield);
    if (!entry->IsRunning() || entry->IsStopping()) {
      continue;
    }
    const int start = entry->Starts();
    ConfigAnswer answer =
        this->world->AskQuestion(*entry, this->DrawQuestion(), yield);
    if (entry->Starts() != start || !entry->IsRunning() ||
        entry->IsStopping()) {
      continue;
    }
    answer.in_touch =
        this->world->WasCalmSince(entry, answer.sent_at - kStable);
    this->world->config_ledger.NoteAnswer(answer);
  }
}

}  // namespace kumquatcart::soak
