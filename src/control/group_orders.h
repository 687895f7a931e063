// Brings servers to what a group's record says.
#ifndef CONTROL_GROUP_ORDERS_H_
#define CONTROL_GROUP_ORDERS_H_

#include <set>
#include <string>

#include "control/group_control_parts.h"

namespace kumquatcart {

// Orders are idempotent and carry the record's epoch, so that those of an older
// record have no effect. For the event loop's thread.
class GroupOrders {
 public:
  // `parts` outlives this.
  explicit GroupOrders(const GroupControlParts* parts) : parts(parts) {}

  // Forms and opens the group, or dissolves it when the record has no members.
  // Returns early when a newer record stands.
  void Drive(const GroupRecord& record, Coroutine yield);

  // Makes a server leave the group that it reports. Precondition: it has one.
  void LeaveGroup(const BackendServer& server, Coroutine yield);

  // Sends one order, logs it, and has a silent server probed.
  OrderOutcome Send(const BackendServer& server,
                    GroupOrder order,
                    const GroupRecord& record,
                    Coroutine yield);

 private:
  void CloseOldHeads(const GroupRecord& record, Coroutine yield);
  void CloseHead(const BackendServer& head,
                 const GroupRecord& old,
                 bool may_finish,
                 Coroutine yield);
  bool JoinMembers(const GroupRecord& record, Coroutine yield);
  void SendJoins(const GroupRecord& record,
                 const std::set<std::string>& ready,
                 Coroutine yield);
  std::set<std::string> CollectReady(const GroupRecord& record,
                                     std::set<std::string> ready,
                                     Coroutine yield);
  void OpenHead(const GroupRecord& record, Coroutine yield);
  // Whether the record is the newest and this VM still plans its domain.
  bool IsCurrent(const GroupRecord& record) const;
  void Dissolve(const GroupRecord& record, Coroutine yield);

  const GroupControlParts* const parts;
};

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_ORDERS_H_
