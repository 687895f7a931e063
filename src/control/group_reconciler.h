// Executes the plans of the fabric domains that this entry VM plans.
#ifndef CONTROL_GROUP_RECONCILER_H_
#define CONTROL_GROUP_RECONCILER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/progress_pacer.h"
#include "control/group_control_dependencies.h"
#include "control/group_orders.h"
#include "control/load_budget.h"
#include "control/lost_groups.h"
#include "control/planning_input.h"
#include "control/standby_loader.h"

namespace kumquatcart {

// Writes the record of a group before it sends any order for the group. The
// position of the record in the store determines the epoch, so that orders of
// an older plan have no effect. Any entry VM can continue from the records and
// the servers' reported states. Use only on the event loop's thread.
class GroupReconciler {
 public:
  explicit GroupReconciler(GroupControlDependencies control_parts)
      : parts(std::move(control_parts)),
        loads(&this->parts),
        orders(&this->parts, &this->loads),
        standbys(&this->parts, &this->orders, &this->loads),
        next_nonce(std::random_device{}()),
        writes(kShortestWritePause, kLongestWritePause) {}
  GroupReconciler(const GroupReconciler&) = delete;
  GroupReconciler& operator=(const GroupReconciler&) = delete;

  // Starts the planning loop, which runs until the process ends.
  void Start();

  // Stops planning and sending orders.
  void Stop() { this->parts.role->Stop(); }

  // Returns the state of the groups of the planned domains, for the digest.
  std::vector<GroupAvailability> GroupStates() const;

 private:
  // Pauses after records that were not accepted.
  static constexpr Duration kShortestWritePause =
      std::chrono::milliseconds(100);
  static constexpr Duration kLongestWritePause = std::chrono::seconds(2);

  void ReconcileDomains();
  // Whether this process plans `failure_domain`; remembers it in
  // `planned_here`.
  bool IsPlannedHere(const std::string& failure_domain,
                     std::map<std::string, bool>* planned_here) const;
  void ReconcileDomain(const FabricDomain& domain);

  // Starts `task` unless a task with the same key is running.
  void StartOnce(const std::string& key, std::function<void(Coroutine)> task);

  // Writes records that the store has lost once more, unless others have been
  // written since. Returns whether the domain's plan has to wait for that.
  bool RestoreRecords(const FabricDomain& domain);

  // Writes records of one fabric domain, which were planned from the present
  // state of the view. Does nothing while records are being written.
  // Precondition: there are records.
  void StartWriting(std::vector<GroupRecord> records);

  // Writes the records in turn until one is not accepted, or another planner
  // has recorded a group of the domain: the others rest on the epochs that were
  // recorded when they were planned, `planned_from`. Those without an epoch get
  // one, with the present starts of their members.
  void WriteRecords(const std::vector<GroupRecord>& records,
                    std::map<std::string, std::int64_t> planned_from,
                    Coroutine yield);
  // Writes one record at the end of the topic. Returns whether it was accepted.
  bool WriteRecord(GroupRecord* record, Coroutine yield);

  const GroupControlDependencies parts;
  LoadBudget loads;
  GroupOrders orders;
  StandbyLoader standbys;
  std::set<std::string> running_tasks;  // Task keys.
  std::uint32_t next_nonce;             // Of epochs.
  ProgressPacer writes;
  // When groups without a record were first seen, by fabric domain.
  std::map<std::string, std::map<GroupFormation, MonotonicTime>> partial_since;
};

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_RECONCILER_H_
