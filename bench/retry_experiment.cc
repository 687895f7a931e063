// A retry budget on and off while backend servers lose part of their speed.
#include <chrono>
#include <deque>
#include <memory>
#include <random>
#include <string>

#include "policy_report.h"
#include "routing/fair_queue.h"
#include "routing/retry_budget.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServers = 100;
constexpr double kServiceSeconds = 0.5;
constexpr double kSlowFactor = 1.6;   // During the brown-out.
constexpr double kUtilisation = 0.8;  // At full speed.
constexpr Duration kAttemptTimeout = seconds(2);
constexpr Duration kCallerTimeout = seconds(6);
constexpr int kMaxAttempts = 3;
constexpr Duration kSlowFrom = seconds(30);
constexpr Duration kSlowUntil = seconds(60);
constexpr Duration kRunTime = seconds(120);
constexpr double kRetryRatio = 0.2;
constexpr double kRetryBurst = 20;
// Room for the run itself inside the timeout of an attempt.
constexpr Duration kStartMargin = milliseconds(1000);
constexpr double kNewestRunWeight = 0.01;

// Which mechanisms are on.
struct RetryPolicy {
  bool budget = true;
  bool admission = true;  // Refuse at once what cannot start in time.
};

// Attempts that time out are retried. One that waits is cancelled, as the
// system does; the servers go on with the work of attempts nobody waits for.
class RetryRun {
 public:
  RetryRun(RetryPolicy policy, std::uint64_t seed)
      : policy(policy), random(seed), budget(kRetryRatio, kRetryBurst) {}

  void Run() {
    this->begin = this->clock.Now();
    this->ScheduleArrival();
    this->clock.Advance(kRunTime);
  }

  int arrived = 0;
  int answered = 0;
  int attempts = 0;
  int answered_slow = 0;  // Of those that arrived during the brown-out.
  int arrived_slow = 0;
  int answered_after = 0;  // Of those that arrived after it.
  int arrived_after = 0;

 private:
  struct Call {
    MonotonicTime arrived;
    int attempts = 0;
    bool done = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  struct Attempt {
    CallPtr call;
    bool timed_out = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  bool IsSlow(MonotonicTime time) const {
    return time >= this->begin + kSlowFrom && time < this->begin + kSlowUntil;
  }

  void ScheduleArrival() {
    const double rate = kUtilisation * kServers / kServiceSeconds;
    const Duration wait = DrawExponential(&this->random, 1 / rate);
    this->clock.CallAfter(wait, [this] {
      this->Arrive();
      this->ScheduleArrival();
    });
  }

  void Arrive() {
    const auto call = std::make_shared<Call>();
    call->arrived = this->clock.Now();
    ++this->arrived;
    this->arrived_slow += this->IsSlow(call->arrived) ? 1 : 0;
    this->arrived_after += this->IsAfter(call->arrived) ? 1 : 0;
    this->budget.RecordFirstAttempt();
    this->Start(call);
  }

  bool IsAfter(MonotonicTime time) const {
    return time >= this->begin + kSlowUntil &&
           time < this->begin + kRunTime - kCallerTimeout;
  }

  bool CanStartInTime() const {
    const auto ahead = static_cast<double>(this->queue.size());
    const MonotonicTime now = this->clock.Now();
    return PredictStart(now, ahead, kServers / this->run_seconds) +
               kStartMargin <=
           now + kAttemptTimeout;
  }

  void Start(const CallPtr& call) {
    if (this->policy.admission && !this->CanStartInTime()) {
      return;
    }
    ++call->attempts;
    ++this->attempts;
    const auto attempt = std::make_shared<Attempt>();
    attempt->call = call;
    this->clock.CallAfter(kAttemptTimeout, [this, attempt] {
      attempt->timed_out = true;
      this->RetryIfAllowed(attempt->call);
    });
    this->queue.push_back(attempt);
    this->StartWaiting();
  }

  void RetryIfAllowed(const CallPtr& call) {
    const bool late = this->clock.Now() >= call->arrived + kCallerTimeout;
    if (call->done || late || call->attempts == kMaxAttempts) {
      return;
    }
    if (this->policy.budget && !this->budget.TryTakeRetry()) {
      return;
    }
    this->Start(call);
  }

  void StartWaiting() {
    while (this->running < kServers && !this->queue.empty()) {
      const AttemptPtr attempt = this->queue.front();
      this->queue.pop_front();
      if (attempt->timed_out) {
        continue;
      }
      ++this->running;
      const double factor = this->IsSlow(this->clock.Now()) ? kSlowFactor : 1;
      const Duration time =
          DrawExponential(&this->random, factor * kServiceSeconds);
      this->clock.CallAfter(time, [this, attempt, time] {
        --this->running;
        const double seconds = std::chrono::duration<double>(time).count();
        this->run_seconds += kNewestRunWeight * (seconds - this->run_seconds);
        this->Answer(attempt);
        this->StartWaiting();
      });
    }
  }

  void Answer(const AttemptPtr& attempt) {
    if (attempt->timed_out || attempt->call->done) {
      return;
    }
    attempt->call->done = true;
    ++this->answered;
    this->answered_slow += this->IsSlow(attempt->call->arrived) ? 1 : 0;
    this->answered_after += this->IsAfter(attempt->call->arrived) ? 1 : 0;
  }

  const RetryPolicy policy;
  ManualClock clock;
  std::mt19937_64 random;
  RetryBudget budget;
  std::deque<AttemptPtr> queue;
  int running = 0;
  double run_seconds = kServiceSeconds;  // Decayed mean.
  MonotonicTime begin;
};

void RunVariant(const std::string& variant,
                RetryPolicy policy,
                std::uint64_t seed) {
  RetryRun run(policy, seed);
  run.Run();
  PrintRow("brownout", variant, "attempts_per_request",
           static_cast<double>(run.attempts) / run.arrived);
  PrintRow("brownout", variant, "answered_fraction",
           static_cast<double>(run.answered) / run.arrived);
  PrintRow("brownout", variant, "answered_fraction_during",
           static_cast<double>(run.answered_slow) / run.arrived_slow);
  PrintRow("brownout", variant, "answered_fraction_after",
           static_cast<double>(run.answered_after) / run.arrived_after);
}

}  // namespace

void CompareRetries(std::uint64_t seed) {
  RunVariant("neither", {false, false}, seed);
  RunVariant("retry_budget", {true, false}, seed);
  RunVariant("deadline_admission", {false, true}, seed);
  RunVariant("both", {true, true}, seed);
}

}  // namespace kumquatcart
