// Sends orders to servers until they match a group's record.
#ifndef CONTROL_GROUP_ORDERS_H_
#define CONTROL_GROUP_ORDERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "control/group_control_dependencies.h"
#include "control/load_budget.h"

namespace kumquatcart {

// Orders are idempotent and carry the epoch of the record, so that orders of an
// older record have no effect. Use only on the event loop's thread.
class GroupOrders {
 public:
  // The arguments outlive this.
  GroupOrders(const GroupControlDependencies* parts, LoadBudget* loads)
      : parts(parts), loads(loads) {}

  // Forms and opens the group. Returns early if there is a newer record.
  // Precondition: the record has members.
  void Reconcile(const GroupRecord& record, Coroutine yield);

  // Orders a server to leave the group that it reports. Does nothing while the
  // group's head serves and can be reached: without the member it would stall.
  // Precondition: the server has a membership.
  void LeaveGroup(const BackendServer& server, Coroutine yield);

  // Sends and logs one order. Probes the server if it does not answer, and
  // marks it as unreachable if another one answers at its address. A server
  // that is not in the group joins it only if it has accepted no order since
  // the statement that `server` was read from; if it has, its report is read.
  OrderOutcome Send(const BackendServer& server,
                    GroupOrder order,
                    const GroupRecord& record,
                    std::optional<std::int64_t> expected_orders,
                    Coroutine yield);

  // Orders a server that is not in the group to join it, in the state that its
  // report states. One that is in another group is ordered to leave it first,
  // if `record` is current and later; then the outcome is kConflict.
  OrderOutcome Join(const BackendServer& server,
                    const GroupRecord& record,
                    Coroutine yield);

 private:
  void ClosePreviousHeads(const GroupRecord& record, Coroutine yield);
  void CloseHead(const BackendServer& head,
                 const GroupRecord& old,
                 bool may_finish,
                 Coroutine yield);
  bool JoinMembers(const GroupRecord& record, Coroutine yield);
  // Orders members that are not joining yet to join, and those that are in
  // another group to leave it. `ordered_at`: when each was ordered last.
  // Members that need a load beyond the budget wait for a later call.
  void SendJoins(const GroupRecord& record,
                 const std::set<std::string>& ready,
                 std::map<std::string, MonotonicTime>* ordered_at,
                 Coroutine yield);
  std::set<std::string> CollectReadyMembers(const GroupRecord& record,
                                            std::set<std::string> ready,
                                            Coroutine yield);
  void OpenHead(const GroupRecord& record, Coroutine yield);
  // Whether the head of a group and epoch is open or closing and reachable.
  bool HasServingHead(const GroupMembership& membership) const;
  // Whether the record is the newest of its group and this VM still plans the
  // domain.
  bool IsCurrent(const GroupRecord& record) const;

  const GroupControlDependencies* const parts;
  LoadBudget* const loads;
};

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_ORDERS_H_
