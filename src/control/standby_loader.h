// Loads models on servers that are not in a group.
#ifndef CONTROL_STANDBY_LOADER_H_
#define CONTROL_STANDBY_LOADER_H_

#include <deque>
#include <string>

#include "control/group_control_dependencies.h"
#include "control/group_orders.h"
#include "control/group_planner.h"

namespace kumquatcart {

// Limits loads to this VM's share of the weight store's rate. Use only on the
// event loop's thread.
class StandbyLoader {
 public:
  // `parts` and `orders` outlive this.
  StandbyLoader(const GroupControlDependencies* parts, GroupOrders* orders)
      : parts(parts), orders(orders) {}

  // Sends the order and waits until it may be resent. Does nothing if the
  // share of the weight store's rate is used up.
  void LoadStandby(const StandbyAssignment& standby, Coroutine yield);

 private:
  // Returns whether `server` may load `model` now, and counts the load if so.
  // Staged models and loads before the first request are not limited.
  bool TryCountLoad(const BackendServer& server,
                    const std::string& model,
                    const EngineSpec& engine);

  const GroupControlDependencies* const parts;
  GroupOrders* const orders;
  std::deque<MonotonicTime> load_times;  // Starts of weight store loads.
};

}  // namespace kumquatcart

#endif  // CONTROL_STANDBY_LOADER_H_
