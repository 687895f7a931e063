// Carries out the plans of the fabric domains that this entry VM plans.
#ifndef CONTROL_GROUP_DRIVER_H_
#define CONTROL_GROUP_DRIVER_H_

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/group_control_parts.h"
#include "control/group_orders.h"
#include "control/planning_input.h"
#include "control/standby_loader.h"

namespace kumquatcart {

// Writes a group's record before it gives any order about it; the record's
// place in the store is the epoch, so that orders of an older plan have no
// effect. Any entry VM can go on from the records and from what servers report.
// For the event loop's thread.
class GroupDriver {
 public:
  explicit GroupDriver(GroupControlParts control_parts)
      : parts(std::move(control_parts)),
        orders(&this->parts),
        standbys(&this->parts, &this->orders) {}
  GroupDriver(const GroupDriver&) = delete;
  GroupDriver& operator=(const GroupDriver&) = delete;

  // Starts to plan, until the process ends.
  void Start();

  // Gives no more orders.
  void Stop() { this->parts.role->Stop(); }

  // Whether the groups of the planned domains take requests, for the peers.
  std::vector<GroupNews> News() const;

 private:
  void Tick();
  void WorkOn(const FabricDomain& domain);

  // Starts `task` unless one of that key is running.
  void StartOnce(const std::string& key, std::function<void(Coroutine)> task);

  void WriteRecords(const std::vector<GroupRecord>& records, Coroutine yield);

  const GroupControlParts parts;
  GroupOrders orders;
  StandbyLoader standbys;
  std::set<std::string> running;  // Keys of tasks.
};

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_DRIVER_H_
