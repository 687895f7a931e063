#include "soak/soak_run.h"

#include <csignal>

#include <fmt/format.h>

#include "net/http_status.h"
#include "soak/backoff_schedule.h"
#include "soak/broken_answer_schedule.h"
#include "soak/config_schedule.h"
#include "soak/fault_schedule.h"
#include "soak/idle_schedule.h"
#include "soak/limit_schedule.h"
#include "soak/rebirth_schedule.h"
#include "soak/rollback_schedule.h"
#include "soak/silence_schedule.h"

namespace kumquatcart::soak {

namespace {

// From the start of the processes to the first request: groups form meanwhile.
constexpr Duration kSettling = std::chrono::seconds(4);
// From the end of the last fault until everything must be as before it.
constexpr Duration kRecovery = std::chrono::seconds(6);
// Time over which the share that is served is taken in the end.
constexpr Duration kMeasured = std::chrono::seconds(2);
constexpr double kServedShare = 0.9;
constexpr Duration kWatch = std::chrono::milliseconds(50);
// Time after which a process that reads the store, and that nothing disturbs,
// has a version: longer than the platform's bound of 2 s.
constexpr Duration kInForceTime = std::chrono::milliseconds(3000);
// Time after which such a process has a server's report that it leaves.
constexpr Duration kReportTime = std::chrono::milliseconds(3000);
// Calls of the store that are too many, for each process and second, over any
// time of that length.
constexpr int kStormCalls = 40;
constexpr Duration kStormTime = std::chrono::seconds(2);
// With more processes, some depend on others for their records.
constexpr std::size_t kStoreReaders = 4;
// Time until every request has ended: longer than callers wait.
constexpr Duration kLastAnswers = std::chrono::seconds(4);
constexpr Duration kStopTime = std::chrono::seconds(8);

// Accuses a process that does not have a version although nothing has kept it
// from reading that for long enough.
void CheckInForce(SoakWorld* world, EntryChild* entry, Coroutine yield) {
  const MonotonicTime due_at = world->loop.Now() - kInForceTime;
  const int due = world->VersionSince(due_at);
  if (due > 0 && world->WasCalmSince(entry, due_at) &&
      world->AskRoute(*entry, due, yield) == kHttpNotFound &&
      world->WasCalmSince(entry, due_at)) {
    world->ledger.Accuse(fmt::format("{} does not have version {} after {} ms",
                                     entry->Name(), due,
                                     ToMillis(kInForceTime)));
  }
}

// Asks one process again and again for the newest route that it has shown, for
// as long as it lives.
void WatchConfig(SoakWorld* world,
                 EntryChild* entry,
                 bool all_read_store,
                 const bool* goes_on,
                 Coroutine yield) {
  int shown = 0;
  int start = 0;  // Of the process that has shown it.
  while (*goes_on) {
    world->loop.Sleep(4 * kWatch, yield);
    // A process may end and start again between two questions.
    if (!entry->IsRunning() || entry->IsStopping() ||
        entry->Starts() != start) {
      shown = 0;
    }
    if (!entry->IsRunning() || entry->IsStopping()) {
      continue;
    }
    start = entry->Starts();
    if (all_read_store) {
      CheckInForce(world, entry, yield);
    }
    const int newest = world->Version();
    if (world->AskRoute(*entry, newest, yield) == kHttpOk) {
      shown = std::max(shown, newest);
      continue;
    }
    if (shown == 0 || entry->IsStopping()) {
      continue;
    }
    const int status = world->AskRoute(*entry, shown, yield);
    if (status == kHttpNotFound && !entry->IsStopping() && entry->IsRunning() &&
        entry->Starts() == start) {
      world->ledger.Accuse(
          fmt::format("{} went back behind version {}", entry->Name(), shown));
    }
  }
}

void WatchDrains(SoakWorld* world, const bool* goes_on, Coroutine yield) {
  while (*goes_on) {
    world->loop.Sleep(kWatch, yield);
    const MonotonicTime since = world->loop.Now() - kReportTime;
    for (const auto& entry : world->entries) {
      if (world->WasCalmSince(entry.get(), since)) {
        world->drains.NoteInTouch(entry->Callers().address().to_string(),
                                  since);
      }
    }
  }
}

void CheckCalls(const SoakSettings& settings,
                const StoreCalls& calls,
                SoakReport* report) {
  report->most_store_calls = calls.MostWithin(std::chrono::seconds(1));
  report->median_store_calls = calls.MedianPerSecond();
  const int most = calls.MostWithin(kStormTime);
  if (settings.with_rollbacks &&
      std::chrono::seconds(1) * most >
          kStormCalls * settings.entries * kStormTime) {
    report->broken.push_back(fmt::format(
        "storm: {} calls of the store in {} ms", most, ToMillis(kStormTime)));
  }
}

void CheckEnd(SoakWorld* world, Coroutine yield) {
  int asked = 0;
  int served = 0;
  for (const auto& caller : world->callers) {
    asked -= caller->Asked();
    served -= caller->Served();
  }
  world->loop.Sleep(kMeasured, yield);
  for (const auto& caller : world->callers) {
    asked += caller->Asked();
    served += caller->Served();
  }
  if (served < kServedShare * asked || served == 0) {
    world->ledger.Accuse(fmt::format(
        "{} of {} requests served after the last fault", served, asked));
  }
  for (const auto& entry : world->entries) {
    if (!world->IsReady(*entry, yield)) {
      world->ledger.Accuse(entry->Name() + " is not ready in the end");
    }
    const int status = world->AskRoute(*entry, world->Version(), yield);
    if (status != kHttpOk) {
      world->ledger.Accuse(fmt::format("{} answers {} on the newest route",
                                       entry->Name(), status));
    }
  }
}

void StopAll(SoakWorld* world, Coroutine yield) {
  for (const auto& entry : world->entries) {
    entry->Signal(SIGTERM, true);
  }
  const MonotonicTime deadline = world->loop.Now() + kStopTime;
  bool running = true;
  while (running && world->loop.Now() < deadline) {
    world->loop.Sleep(kWatch, yield);
    running = false;
    for (const auto& entry : world->entries) {
      entry->Reap();
      running = running || entry->IsRunning();
    }
  }
}

}  // namespace

SoakReport RunSoak(const SoakSettings& settings) {
  SoakWorld world(settings);
  SoakReport report;
  if (const Status started = world.Start(); started.has_error()) {
    report.broken.push_back(started.error().message);
    return report;
  }
  FaultSchedule schedule(&world, settings.seed, settings.with_config_changes);
  ConfigSchedule configs(&world, settings.seed);
  LimitSchedule limits(&world, settings.seed);
  BackoffSchedule backoffs(&world, settings.seed);
  BrokenAnswerSchedule broken_answers(&world, settings.seed);
  IdleSchedule idle(&world, settings.seed);
  RebirthSchedule rebirths(&world, settings.seed);
  SilenceSchedule silences(&world, settings.seed);
  RollbackSchedule rollbacks(&world, settings.seed);
  MonotonicTime calm_from = MonotonicTime::max();
  bool restarts = true;
  bool watches = true;
  world.loop.Spawn([&](Coroutine yield) {
    while (restarts) {
      world.KeepProcesses(restarts);
      world.loop.Sleep(kWatch, yield);
    }
  });
  world.loop.Spawn([&](Coroutine yield) {
    world.loop.Sleep(kSettling, yield);
    world.StartCallers();
    for (const auto& entry : world.entries) {
      world.loop.Spawn([&, child = entry.get()](Coroutine inner) {
        if (settings.with_config_changes) {
          configs.Watch(child, &watches, inner);
          return;
        }
        WatchConfig(&world, child, world.entries.size() <= kStoreReaders,
                    &watches, inner);
      });
    }
    const MonotonicTime end = world.loop.Now() + settings.length;
    for (const bool forms_groups : {false, true}) {
      world.loop.Spawn([&, forms_groups](Coroutine inner) {
        if (settings.with_limits) {
          limits.Run(forms_groups, &watches, inner);
        }
      });
      world.loop.Spawn([&, forms_groups, end](Coroutine inner) {
        if (settings.with_backoffs) {
          backoffs.Run(forms_groups, end, inner);
        }
      });
    }
    if (settings.with_config_changes) {
      world.loop.Spawn([&, end](Coroutine inner) { configs.Run(end, inner); });
    }
    if (settings.with_idle_timeouts) {
      world.loop.Spawn([&, end](Coroutine inner) { idle.Run(end, inner); });
    }
    if (settings.with_broken_answers) {
      world.loop.Spawn(
          [&, end](Coroutine inner) { broken_answers.Run(end, inner); });
    }
    bool is_sound = !settings.with_silences;
    if (settings.with_silences) {
      world.loop.Spawn([&, end](Coroutine inner) {
        silences.Run(end, inner);
        is_sound = true;
      });
    }
    bool is_reborn = !settings.with_rebirths;
    if (settings.with_rebirths) {
      world.loop.Spawn([&, end](Coroutine inner) {
        rebirths.Run(end, inner);
        is_reborn = true;
      });
    }
    bool is_restored = !settings.with_rollbacks;
    if (settings.with_rollbacks) {
      world.loop.Spawn(
          [&](Coroutine inner) { WatchDrains(&world, &watches, inner); });
      world.loop.Spawn(
          [&, end](Coroutine inner) { rollbacks.DrainServers(end, inner); });
      world.loop.Spawn([&, end](Coroutine inner) {
        rollbacks.Run(end, inner);
        is_restored = true;
      });
    }
    // Other faults start processes again, which read all records anew.
    if (!settings.with_silences && !settings.is_calm) {
      schedule.Run(end, yield);
    }
    while (!is_reborn || !is_sound || !is_restored || world.loop.Now() < end) {
      world.loop.Sleep(kWatch, yield);
    }
    world.loop.Sleep(kRecovery, yield);
    calm_from = world.loop.Now();
    CheckEnd(&world, yield);
    watches = false;
    world.StopCallers();
    world.loop.Sleep(kLastAnswers, yield);
    restarts = false;
    StopAll(&world, yield);
    world.loop.Stop();
  });
  world.loop.Run();
  report.broken = world.ledger.Judge();
  for (const std::vector<std::string>& broken :
       {world.limits.Judge(world.loop.Now()), world.backoffs.Judge(),
        world.prompts.Judge(calm_from), world.config_ledger.Judge(),
        world.drains.Judge(), world.retries.Judge()}) {
    report.broken.insert(report.broken.end(), broken.begin(), broken.end());
  }
  CheckCalls(settings, world.store.Calls(), &report);
  report.rollbacks = rollbacks.Rollbacks();
  report.ended_under_prompts = world.prompts.ServerEnds();
  report.config_answers = world.config_ledger.Bound();
  report.repeats = world.retries.Fullest();
  report.given_too_long = world.retries.GivenTooLong();
  report.told_to_wait = world.backoffs.Rejections();
  report.faults = schedule.Faults();
  report.served = world.ledger.Count(RequestEnd::kServed);
  report.refused = world.ledger.Count(RequestEnd::kRefused);
  report.failed = world.ledger.Count(RequestEnd::kFailed);
  world.loop.UnwindCoroutines();
  return report;
}

}  // namespace kumquatcart::soak
