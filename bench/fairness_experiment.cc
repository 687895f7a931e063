// Weighted fair queues against one first-come-first-served queue.
#include <map>
#include <random>
#include <set>
#include <string>

#include <fmt/format.h>

#include "policy_report.h"
#include "routing/fair_queue.h"

namespace kumquatcart {
namespace {

using std::chrono::seconds;

constexpr int kServers = 50;
constexpr double kServiceSeconds = 1.0;
constexpr double kLargeRate = 4.0 * kServers;  // Four times what can be done.
constexpr int kSmallOrganisations = 9;
constexpr double kSmallRate = 2.0;
constexpr Duration kRunTime = seconds(120);

// One large organisation floods the servers, nine small ones send a little.
class FairnessRun {
 public:
  FairnessRun(bool fair, std::uint64_t seed) : fair(fair), random(seed) {}

  void Run() {
    this->end = this->clock.Now() + kRunTime;
    this->ScheduleArrival("large", kLargeRate);
    for (int index = 0; index < kSmallOrganisations; ++index) {
      this->ScheduleArrival(fmt::format("small-{}", index), kSmallRate);
    }
    this->clock.Advance(kRunTime);
  }

  Sample small_wait_ms;
  Sample large_wait_ms;

 private:
  // Who sent a request and when.
  struct Origin {
    std::string organisation;
    MonotonicTime arrived;
  };

  void ScheduleArrival(const std::string& organisation, double rate) {
    const Duration wait = DrawExponential(&this->random, 1 / rate);
    this->clock.CallAfter(wait, [this, organisation, rate] {
      this->Arrive(organisation);
      if (this->clock.Now() < this->end) {
        this->ScheduleArrival(organisation, rate);
      }
    });
  }

  void Arrive(const std::string& organisation) {
    AdmissionRequest request;
    request.request = RequestId(std::to_string(++this->last_id));
    // One flow for all of them is served in order of arrival.
    request.organisation = ObjectName(this->fair ? organisation : "all");
    this->origins[request.request] = {organisation, this->clock.Now()};
    this->queue.Push(request, 1);
    this->StartWaiting();
  }

  void StartWaiting() {
    while (this->running < kServers) {
      const auto next = this->queue.Pop();
      if (!next) {
        return;
      }
      ++this->running;
      const Origin& origin = this->origins[next->request];
      Sample& sample = origin.organisation == "large" ? this->large_wait_ms
                                                      : this->small_wait_ms;
      sample.Add(ToMs(this->clock.Now() - origin.arrived));
      const Duration time = DrawExponential(&this->random, kServiceSeconds);
      this->clock.CallAfter(time, [this] {
        --this->running;
        this->StartWaiting();
      });
    }
  }

  const bool fair;
  ManualClock clock;
  std::mt19937_64 random;
  FairQueue queue;
  std::map<RequestId, Origin> origins;
  int running = 0;
  int last_id = 0;
  MonotonicTime end;
};

void RunVariant(bool fair, std::uint64_t seed) {
  FairnessRun run(fair, seed);
  run.Run();
  const std::string variant = fair ? "on" : "off";
  PrintRow("fair_queue", variant, "small_served",
           static_cast<double>(run.small_wait_ms.Count()));
  PrintRow("fair_queue", variant, "small_wait_p95_ms",
           run.small_wait_ms.Quantile(0.95));
  PrintRow("fair_queue", variant, "large_served",
           static_cast<double>(run.large_wait_ms.Count()));
}

}  // namespace

void CompareFairness(std::uint64_t seed) {
  RunVariant(true, seed);
  RunVariant(false, seed);
}

}  // namespace kumquatcart
