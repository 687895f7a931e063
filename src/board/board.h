// The blackboard: what this node knows, written and read by controllers.
#ifndef BOARD_BOARD_H_
#define BOARD_BOARD_H_

#include "board/table.h"
#include "model/audit_entry.h"
#include "model/config_view.h"
#include "model/engine.h"
#include "model/lease.h"
#include "model/member.h"
#include "model/replica_group.h"
#include "model/vm.h"

namespace kumquatcart {

// Every shared table of the process, each with one writer. Thread safe.
struct Board {
  explicit Board(NodeIdentity identity);

  const NodeIdentity identity;

  Table<ConfigView> config;    // Written by the configuration follower.
  Table<VmTable> vms;          // Written by the VM list reader.
  Table<MemberTable> members;  // Written by membership.
  Table<EngineTable> engines;  // Written by the engine watcher, for VMs of this
                               // failure domain.
  Table<GroupTable>
      groups;  // Written by the group view, for every failure domain.
  Table<LeaseTable> leases;  // Written by the lease keeper.
  Table<AuditTable> audit;   // Written by the audit trail.
};

}  // namespace kumquatcart

#endif  // BOARD_BOARD_H_
