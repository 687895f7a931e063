// Loads models on servers that are not in a group.
#ifndef CONTROL_STANDBY_LOADER_H_
#define CONTROL_STANDBY_LOADER_H_

#include "control/group_control_dependencies.h"
#include "control/group_orders.h"
#include "control/group_planner.h"
#include "control/load_budget.h"

namespace kumquatcart {

// Use only on the event loop's thread.
class StandbyLoader {
 public:
  // The arguments outlive this.
  StandbyLoader(const GroupControlDependencies* parts,
                GroupOrders* orders,
                LoadBudget* loads)
      : parts(parts), orders(orders), loads(loads) {}

  // Sends the order and waits until it may be resent. Does nothing if the
  // budget for loads is used up.
  void LoadStandby(const StandbyAssignment& standby, Coroutine yield);

 private:
  const GroupControlDependencies* const parts;
  GroupOrders* const orders;
  LoadBudget* const loads;
};

}  // namespace kumquatcart

#endif  // CONTROL_STANDBY_LOADER_H_
