// Admission by quota, capacity, fair share and deadline.
#ifndef ROUTING_ADMISSION_CONTROLLER_H_
#define ROUTING_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/setting.h"
#include "board/board.h"
#include "routing/admission.h"
#include "routing/demand_table.h"
#include "routing/fair_queue.h"
#include "routing/token_bucket.h"

namespace kumquatcart {

struct AdmissionSettings {
  // Requests sent to backend servers relative to what they run at once; above 1
  // keeps their queues from running dry between load reports.
  double overcommit = 1.25;
  // Requests that may wait for one service.
  std::int64_t queue_limit = 1000;
  // Burst of a rate quota, as time of its rate.
  Duration quota_burst = std::chrono::seconds(2);
  // Part of a shared limit that is divided equally whatever the demand.
  double quota_floor = 0.2;
  // How often waiting requests are looked over.
  Duration sweep_interval = std::chrono::milliseconds(50);
};

SettingGroup DescribeSettings(AdmissionSettings* settings);

// Admits requests of every service. Thread safe: one mutex guards all queues
// and is a leaf in the lock order but for the board's tables and the demand
// table, which are read under it. Decisions are called with no lock held.
class AdmissionController : public Admission {
 public:
  // Precondition: the pointers outlive the controller; Stop is called before
  // the clock ends.
  AdmissionController(Clock* clock,
                      Board* board,
                      DemandTable* demand,
                      MetricRegistry* metrics,
                      AdmissionSettings settings);

  // Begins the periodic look-over of waiting requests.
  void Start();
  void Stop();

  void Submit(const AdmissionRequest& request, Decision decide) override;
  void Complete(const AdmissionRequest& request, double cost) override;
  void Abandon(const RequestId& request) override;

  // Looks over all queues once: starts what there is room for and refuses what
  // cannot make its deadline. Start calls it periodically; tests call it
  // directly.
  void Sweep();

 private:
  // Requests of one service.
  struct ServiceState {
    FairQueue queue;
    std::map<RequestId, MonotonicTime> running;  // Start of each.
    double mean_seconds = 0;  // Decayed mean run time; 0 before the first.
  };

  // Use of one quota.
  struct QuotaState {
    std::optional<TokenBucket> requests;
    std::optional<TokenBucket> tokens;
    int concurrent = 0;
  };

  // A decision to call once the lock is released.
  struct Verdict {
    Decision decide;
    Status status;
  };
  using Verdicts = std::vector<Verdict>;

  Status CheckQuota(const AdmissionRequest& request, MonotonicTime now);
  const Quota* FindQuota(const ConfigView& config,
                         const AdmissionRequest& request) const;
  QuotaState& RefreshQuota(const Quota& quota, MonotonicTime now);
  double OwnPart(double total, const DemandKey& key) const;
  int ConcurrencyLimit(const ServiceName& service) const;
  double StartRate(const ServiceState& state,
                   int limit,
                   MonotonicTime now) const;
  double WeightOf(const ObjectName& organisation) const;
  Status CheckWait(const ServiceState& state,
                   const AdmissionRequest& request,
                   int limit,
                   MonotonicTime now) const;
  void Admit(const AdmissionRequest& request,
             ServiceState* state,
             MonotonicTime now);
  void StartWaiting(const ServiceName& service,
                    ServiceState* state,
                    MonotonicTime now,
                    Verdicts* verdicts);
  void RefuseHopeless(ServiceState* state,
                      int limit,
                      MonotonicTime now,
                      Verdicts* verdicts);
  Decision TakeDecision(const RequestId& request);
  void ScheduleSweep();

  Clock* clock;
  Board* board;
  DemandTable* demand;
  const AdmissionSettings settings;
  Counter& admitted;
  Counter& refused_quota;
  Counter& refused_wait;
  Gauge& waiting_gauge;

  std::mutex mutex;
  std::map<ServiceName, ServiceState> services;
  std::map<DemandKey, QuotaState> quotas;
  std::map<RequestId, Decision> decisions;
  bool running = false;
  TimerId sweep_timer = 0;
};

}  // namespace kumquatcart

#endif  // ROUTING_ADMISSION_CONTROLLER_H_
