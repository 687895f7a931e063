// In-memory state of this node, shared between its controllers.
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

// All shared tables of the process. Each has a single writer. Thread safe.
struct Board {
  explicit Board(NodeIdentity identity);

  const NodeIdentity identity;

  Table<ConfigView> config;    // Written by the configuration replica.
  Table<VmTable> vms;          // Written by the VM list reader.
  Table<MemberTable> members;  // Written by the peer network.
  // Written by the engine watcher. Covers the VMs of this failure domain.
  Table<EngineTable> engines;
  // Written by the group table updater. Covers all failure domains.
  Table<GroupTable> groups;
  Table<LeaseTable> leases;  // Written by the lease manager.
  Table<AuditTable> audit;   // Written by the audit trail.
};

}  // namespace kumquatcart

#endif  // BOARD_BOARD_H_
