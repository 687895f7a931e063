// Loads models into servers that are in no group.
#ifndef CONTROL_STANDBY_LOADER_H_
#define CONTROL_STANDBY_LOADER_H_

#include <deque>
#include <string>

#include "control/group_control_parts.h"
#include "control/group_orders.h"
#include "control/group_planner.h"

namespace kumquatcart {

// Keeps this VM's part of the weight store's rate. For the event loop's thread.
class StandbyLoader {
 public:
  // Both outlive this.
  StandbyLoader(const GroupControlParts* parts, GroupOrders* orders)
      : parts(parts), orders(orders) {}

  // Gives the order, and waits for as long as it may take to show an effect.
  // Does nothing when the weight store's rate is used up.
  void Prepare(const StandbyAssignment& standby, Coroutine yield);

 private:
  // Whether `server` may load `model` now; counts the load if so.
  bool TakeLoad(const BackendServer& server,
                const std::string& model,
                const EngineSpec& engine);

  const GroupControlParts* const parts;
  GroupOrders* const orders;
  std::deque<MonotonicTime> loads;  // Starts of loads from the weight store.
};

}  // namespace kumquatcart

#endif  // CONTROL_STANDBY_LOADER_H_
