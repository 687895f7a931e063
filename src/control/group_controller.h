// Plans the replica groups of this failure domain and has the plan carried out.
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
#include "control/lease_keeper.h"
#include "control/order_sender.h"
#include "control/placement_score.h"
#include "control/placement_types.h"
#include "control/return_estimator.h"
#include "platform/engine_control.h"
#include "platform/weight_store.h"

namespace kumquatcart {

struct GroupSettings {
  Duration plan_interval = std::chrono::milliseconds(250);
  // Silence after which a VM counts as lost for placement.
  Duration lost_after = std::chrono::seconds(2);
  Duration order_timeout = std::chrono::seconds(2);
  // Age at which an engine drops an order.
  Duration order_validity = std::chrono::seconds(2);
  Duration store_poll_interval = std::chrono::seconds(5);
  std::int64_t max_orders_per_round = 256;
  PlacementLimits limits;
};
SettingGroup DescribeSettings(GroupSettings* settings);

// Receives an entry for each step taken.
using AuditSink = std::function<void(const AuditEntry&)>;

// Acts only while the lease keeper gives it the right to. Everything it needs
// is derived from what engines report, so that any holder can go on where
// another stopped. All methods are thread safe.
class GroupController {
 public:
  // Precondition: the pointers outlive the controller.
  GroupController(Clock* clock,
                  WorkerPool* pool,
                  Board* board,
                  const LeaseKeeper* lease,
                  EngineControl* engines,
                  WeightStore* store,
                  AuditSink audit,
                  MetricRegistry* metrics,
                  GroupSettings settings);

  // Precondition: called once.
  void Start();

  // Stops planning; waits for orders on their way.
  void Stop();

  // One round: plans and has the plan carried out. Blocks on engines; for Start
  // and for tests.
  void RunOnce();

  // Asks the weight store for its rate. Blocks; for Start and for tests.
  void PollStore();

 private:
  // Status of one VM that is newer than the board's.
  struct RecentStatus {
    EngineStatus status;
    MonotonicTime at;
  };

  // One action and the range of its orders in a batch.
  struct PlannedOrders {
    PlacementAction action;
    std::size_t first = 0;
    std::size_t count = 0;
  };

  bool WasPaused(MonotonicTime now);
  EngineTable MergeRecent(const EngineTable& observed);
  void ObserveAbsences(const VmTable& vms,
                       const EngineTable& engines,
                       MonotonicTime now);
  void ObserveDraining(const EngineTable& engines, MonotonicTime now);
  void CarryOut(const PlacementPlan& plan,
                const VmTable& vms,
                const EngineTable& engines,
                FencingNumber fence);
  void Take(const PlannedOrders& planned,
            const std::vector<AddressedOrder>& orders,
            const std::vector<OrderReport>& reports);
  void Account(const PlacementScore& score, MonotonicTime now);
  void AddSeconds(const std::string& name,
                  const MetricLabel& label,
                  double seconds);

  Clock* const clock;
  Board* const board;
  const LeaseKeeper* const lease;
  WeightStore* const store;
  const AuditSink audit;
  MetricRegistry* const metrics;
  const GroupSettings settings;
  OrderSender sender;

  std::mutex store_mutex;  // Guards `store_status`; leaf in the lock order.
  WeightStoreStatus store_status;

  // Serialises rounds and guards the fields below; before all others in the
  // lock order. Held across calls to engines.
  std::mutex round_mutex;
  FencingNumber last_fence = 0;
  MonotonicTime last_round_end;
  MonotonicTime distrust_until;  // After a pause nothing counts as lost.
  MonotonicTime accounted_at;
  std::map<VmId, RecentStatus> recent;
  std::map<VmId, MonotonicTime> unsettled_until;
  std::map<GroupId, MonotonicTime> draining_since;
  std::map<std::string, double> part_seconds;  // By metric and label.
  ReturnEstimator returns;

  std::unique_ptr<PeriodicTask> plan_task;
  std::unique_ptr<PeriodicTask> store_task;
};

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_CONTROLLER_H_
