// Admission control by quota, capacity, fair share and deadline.
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
#include "base/token_bucket.h"
#include "board/board.h"
#include "routing/admission.h"
#include "routing/demand_table.h"
#include "routing/fair_queue.h"

namespace kumquatcart {

struct AdmissionSettings {
  // Requests sent to backend servers relative to their capacity. Values above 1
  // keep their queues from running empty between load reports.
  double overcommit = 1.25;
  // Longest queue of one service, in requests.
  std::int64_t queue_limit = 1000;
  // Burst of a rate quota, expressed as a duration at its rate.
  Duration quota_burst = std::chrono::seconds(2);
  // Fraction of a shared limit that is divided equally, regardless of demand.
  double quota_floor = 0.2;
  // Interval between sweeps of the queues.
  Duration sweep_interval = std::chrono::milliseconds(50);
};

SettingGroup DescribeSettings(AdmissionSettings* settings);

// Admits requests of all services. Thread safe: one mutex guards all queues
// and is a leaf in the lock order, except that the board's tables and the
// demand table are read while it is held. Decisions are called with no lock
// held.
class AdmissionController : public Admission {
 public:
  // Precondition: the pointers outlive the controller; Stop is called before
  // the clock is destroyed.
  AdmissionController(Clock* clock,
                      Board* board,
                      DemandTable* demand,
                      MetricRegistry* metrics,
                      AdmissionSettings settings);

  // Starts the periodic sweep of the queues.
  void Start();
  void Stop();

  void Submit(const AdmissionRequest& request,
              DecisionCallback decide) override;
  void Complete(const AdmissionRequest& request, double cost) override;
  void CancelWaiting(const RequestId& request) override;

  // Sweeps all queues once: admits requests up to the concurrency limit and
  // refuses those that cannot meet their deadline. Runs periodically after
  // Start.
  void Sweep();

 private:
  // Queued and running requests of one service.
  struct ServiceState {
    FairQueue queue;
    std::map<RequestId, MonotonicTime> running;  // Start times.
    double mean_seconds = 0;  // Average run time; 0 before the first.
  };

  // Usage of one quota.
  struct QuotaState {
    std::optional<TokenBucket> requests;
    std::optional<TokenBucket> tokens;
    int concurrent = 0;
  };

  // A decision to be called after the lock is released.
  struct DeferredDecision {
    DecisionCallback decide;
    Status status;
  };
  using DeferredDecisions = std::vector<DeferredDecision>;

  Status CheckQuota(const AdmissionRequest& request, MonotonicTime now);
  const Quota* FindQuota(const ConfigView& config,
                         const AdmissionRequest& request) const;
  QuotaState& RefreshQuota(const Quota& quota, MonotonicTime now);
  double LocalShare(double total, const DemandKey& key) const;
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
  void AdmitQueued(const ServiceName& service,
                   ServiceState* state,
                   MonotonicTime now,
                   DeferredDecisions* deferred);
  void RefuseInfeasible(ServiceState* state,
                        int limit,
                        MonotonicTime now,
                        DeferredDecisions* deferred);
  DecisionCallback TakeDecision(const RequestId& request);
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
  std::map<RequestId, DecisionCallback> decisions;
  bool running = false;
  TimerId sweep_timer = 0;
};

}  // namespace kumquatcart

#endif  // ROUTING_ADMISSION_CONTROLLER_H_
