// Affinity and lag correction, each on and off.
#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "policy_model.h"
#include "policy_report.h"
#include "routing/backend_selector.h"
#include "routing/in_flight_history.h"
#include "routing/routing_constants.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 8;      // Entry VMs that route.
constexpr int kEngines = 65;   // Replica groups of one partner.
constexpr int kCapacity = 16;  // Streams of one group.
constexpr double kUtilisation = 0.8;
constexpr int kConversations = 1500;
constexpr std::size_t kCachedPrefixes = 32;  // Of one group.
constexpr Duration kRunTime = seconds(120);

// Which mechanisms of the choice are on.
struct ChoicePolicy {
  bool affinity = true;
  bool lag_correction = true;
  Duration report_interval = milliseconds(500);
};

// Entry VMs that choose among engines by lagged reports.
class ChoiceRun {
 public:
  ChoiceRun(ChoicePolicy policy, double utilisation, std::uint64_t seed)
      : policy(policy), random(seed), utilisation(utilisation) {
    for (int index = 0; index < kEngines; ++index) {
      this->engines.push_back(std::make_unique<ModelEngine>(
          &this->clock, BackendId(fmt::format("g{}", index)), kCapacity,
          kCachedPrefixes));
    }
    for (int index = 0; index < kNodes; ++index) {
      this->histories.emplace_back(kEngines,
                                   InFlightHistory(kInFlightHistoryRetention));
    }
  }

  void Run() {
    this->end = this->clock.Now() + kRunTime;
    this->ScheduleReport();
    this->ScheduleArrival();
    this->clock.Advance(kRunTime + seconds(60));
  }

  Sample first_token_ms;
  Sample spread;  // Busiest engine's streams minus the mean, at each report.
  int cached = 0;

 private:
  void ScheduleReport() {
    this->clock.CallAfter(this->policy.report_interval, [this] {
      double sum = 0;
      double most = 0;
      for (const auto& engine : this->engines) {
        const EngineLoad load = engine->Load();
        sum += load.running + load.queued;
        most = std::max(most, static_cast<double>(load.running + load.queued));
        engine->MakeReport();
      }
      this->reported_at = this->clock.Now();
      this->spread.Add(most - sum / kEngines);
      if (this->clock.Now() < this->end) {
        this->ScheduleReport();
      }
    });
  }

  void ScheduleArrival() {
    // Mean run time is 3.25 s without a cached prefix.
    const double rate = this->utilisation * kEngines * kCapacity / 3.25;
    const Duration wait = DrawExponential(&this->random, 1 / rate);
    this->clock.CallAfter(wait, [this] {
      this->Arrive();
      if (this->clock.Now() < this->end) {
        this->ScheduleArrival();
      }
    });
  }

  void Arrive() {
    std::uniform_int_distribution<int> any_node(0, kNodes - 1);
    std::uniform_int_distribution<int> any_conversation(0, kConversations - 1);
    std::uniform_int_distribution<int> decode_ms(1000, 4000);
    std::vector<InFlightHistory>& histories =
        this->histories[any_node(this->random)];
    const std::string prefix =
        fmt::format("conversation {}", any_conversation(this->random));
    const MonotonicTime now = this->clock.Now();
    const std::size_t chosen = this->Choose(histories, prefix);
    ModelEngine& engine = *this->engines[chosen];
    InFlightHistory& history = histories[chosen];
    history.Start(now);
    ModelCall call;
    call.prefix = prefix;
    call.prefill = milliseconds(750);
    call.cached_prefill = milliseconds(100);
    call.decode = milliseconds(decode_ms(this->random));
    call.on_first_token = [this, now](bool hit) {
      this->first_token_ms.Add(ToMs(this->clock.Now() - now));
      this->cached += hit ? 1 : 0;
    };
    call.on_done = [this, &history] { history.Finish(this->clock.Now()); };
    engine.Accept(std::move(call));
  }

  std::size_t Choose(const std::vector<InFlightHistory>& histories,
                     const std::string& prefix) {
    const MonotonicTime now = this->clock.Now();
    std::vector<Candidate> candidates(this->engines.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      EngineLoad report = this->engines[index]->LastReport();
      report.age_ms = ToMillis(now - this->reported_at);
      candidates[index].id = this->engines[index]->Id();
      candidates[index].capacity = kCapacity;
      candidates[index].load = this->policy.lag_correction
                                   ? histories[index].Estimate(report, now)
                                   : report.running + report.queued;
    }
    const std::uint64_t key = this->policy.affinity ? AffinityKey(prefix) : 0;
    return *SelectBackend(candidates, key, {}, this->random());
  }

  const ChoicePolicy policy;
  ManualClock clock;
  std::mt19937_64 random;
  const double utilisation;
  std::vector<std::unique_ptr<ModelEngine>> engines;
  std::vector<std::vector<InFlightHistory>> histories;  // By node and engine.
  MonotonicTime reported_at = clock.Now();
  MonotonicTime end;
};

void RunVariant(const std::string& experiment,
                const std::string& variant,
                ChoicePolicy policy,
                std::uint64_t seed) {
  ChoiceRun run(policy, kUtilisation, seed);
  run.Run();
  const auto count = static_cast<double>(run.first_token_ms.Count());
  PrintRow(experiment, variant, "requests", count);
  PrintRow(experiment, variant, "cache_hit_fraction", run.cached / count);
  PrintRow(experiment, variant, "first_token_p50_ms",
           run.first_token_ms.Quantile(0.5));
  PrintRow(experiment, variant, "first_token_p95_ms",
           run.first_token_ms.Quantile(0.95));
  PrintRow(experiment, variant, "busiest_above_mean_streams",
           run.spread.Mean());
}

}  // namespace

void CompareChoice(std::uint64_t seed) {
  RunVariant("affinity", "on", {true, true}, seed);
  RunVariant("affinity", "off", {false, true}, seed);
  for (const Duration interval :
       {Duration(milliseconds(500)), Duration(milliseconds(2000))}) {
    const std::string suffix = fmt::format("_{}ms_report", ToMillis(interval));
    for (const bool correct : {true, false}) {
      const std::string variant = correct ? "on" : "off";
      RunVariant("lag_correction_affinity" + suffix, variant,
                 {true, correct, interval}, seed);
      RunVariant("lag_correction_two_choices" + suffix, variant,
                 {false, correct, interval}, seed);
    }
  }
}

}  // namespace kumquatcart
