// Plans the replica groups of this failure domain and executes the plans.
#ifndef CONTROL_GROUP_CONTROLLER_H_
#define CONTROL_GROUP_CONTROLLER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/periodic_task.h"
#include "base/setting.h"
#include "base/worker_pool.h"
#include "board/board.h"
#include "control/lease_manager.h"
#include "control/order_sender.h"
#include "control/placement_score.h"
#include "control/placement_types.h"
#include "control/return_estimator.h"
#include "platform/engine_control.h"
#include "platform/weight_store.h"

namespace kumquatcart {

struct GroupSettings {
  Duration plan_interval = std::chrono::milliseconds(250);
  // Time without a status after which placement replaces a VM.
  Duration lost_after = std::chrono::seconds(2);
  Duration order_timeout = std::chrono::seconds(2);
  // Age at which an engine discards an order.
  Duration order_validity = std::chrono::seconds(2);
  Duration store_poll_interval = std::chrono::seconds(5);
  std::int64_t max_orders_per_round = 256;
  PlacementLimits limits;
};
SettingGroup DescribeSettings(GroupSettings* settings);

// Receives an audit entry for each action executed.
using AuditSink = std::function<void(const AuditEntry&)>;

// Sends orders only while this node may do so under the lease. Derives its
// state from what engines report, so that a new lease holder can continue where
// the previous one stopped. All methods are thread safe.
class GroupController {
 public:
  // Precondition: the pointers outlive the controller.
  GroupController(Clock* clock,
                  WorkerPool* pool,
                  Board* board,
                  const LeaseManager* lease,
                  EngineControl* engines,
                  WeightStore* store,
                  AuditSink audit,
                  MetricRegistry* metrics,
                  GroupSettings settings);

  // Precondition: called once.
  void Start();

  // Stops planning and waits for orders in flight.
  void Stop();

  // Makes a plan and executes it. Blocks on engines. Called by the periodic
  // task and by tests.
  void RunOnce();

  // Fetches the status of the weight store. Blocks. Called by the periodic task
  // and by tests.
  void PollStore();

 private:
  // Status of one VM from the answer to an order, newer than the board's.
  struct RecentStatus {
    EngineStatus status;
    MonotonicTime at;
  };

  // One action and the range of its orders in a batch.
  struct ActionOrders {
    PlacementAction action;
    std::size_t first = 0;
    std::size_t count = 0;
  };

  bool WasPaused(MonotonicTime now);
  EngineTable MergeRecentStatuses(const EngineTable& observed);
  void ObserveAbsences(const VmTable& vms,
                       const EngineTable& engines,
                       MonotonicTime now);
  void ObserveDraining(const EngineTable& engines, MonotonicTime now);
  void ExecutePlan(const PlacementPlan& plan,
                   const VmTable& vms,
                   const EngineTable& engines,
                   FencingNumber fence);
  void RecordReports(const ActionOrders& planned,
                     const std::vector<AddressedOrder>& orders,
                     const std::vector<OrderReport>& reports);
  void UpdateMetrics(const PlacementScore& score, MonotonicTime now);
  void AddSeconds(const std::string& name,
                  const MetricLabel& label,
                  double seconds);

  Clock* const clock;
  Board* const board;
  const LeaseManager* const lease;
  WeightStore* const store;
  const AuditSink audit;
  MetricRegistry* const metrics;
  const GroupSettings settings;
  OrderSender sender;

  std::mutex store_mutex;  // Guards `store_status`; leaf in the lock order.
  WeightStoreStatus store_status;

  // Serialises planning rounds and guards the fields below. First in the lock
  // order; held across calls to engines.
  std::mutex round_mutex;
  FencingNumber last_fence = 0;
  MonotonicTime last_round_end;
  // After a pause of this process no plan is made before this time, since VMs
  // without a recent status do not count as lost yet.
  MonotonicTime planning_paused_until;
  MonotonicTime metrics_updated_at;
  std::map<VmId, RecentStatus> recent_statuses;
  std::map<VmId, MonotonicTime> outcome_unknown_until;
  std::map<GroupId, MonotonicTime> draining_since;
  std::map<std::string, double> fractional_seconds;  // By metric and label.
  ReturnEstimator returns;

  std::unique_ptr<PeriodicTask> plan_task;
  std::unique_ptr<PeriodicTask> store_task;
};

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_CONTROLLER_H_
