// Selection of the peers that a node observes, and of the nodes that perform
// shared duties.
//
// Pure functions of the member table; every node computes the same result from
// the same table without coordination.
#ifndef PEERS_OVERLAY_H_
#define PEERS_OVERLAY_H_

#include <cstddef>
#include <set>

#include "base/ids.h"
#include "model/member.h"

namespace kumquatcart {

// Number of nodes that observe each member.
struct OverlayShape {
  std::size_t same_domain_observers = 3;   // From the member's failure domain.
  std::size_t other_domain_observers = 2;  // From other failure domains.
};

// Number of nodes per failure domain that read the platform's log.
constexpr std::size_t kLogReadersPerFailureDomain = 2;

// Returns the members that `self` observes and keeps a connection to. Each
// member that is not dead has the same number of observers, chosen by
// rendezvous hashing. If its failure domain has too few nodes, the remaining
// observers come from other failure domains.
std::set<NodeId> ChooseObserved(const MemberTable& table,
                                const NodeId& self,
                                const OverlayShape& shape);

// Returns true if `self` reads the platform's log for its failure domain. A
// node without live peers reads the log itself. If the chosen readers cannot
// reach the platform, other nodes that can take over.
bool IsLogReader(const MemberTable& table, const NodeIdentity& self);

// Number of nodes per failure domain that report its groups to the others.
constexpr std::size_t kGroupReportersPerFailureDomain = 2;

// Returns true if `self` reports the groups of its failure domain.
bool IsGroupReporter(const MemberTable& table, const NodeIdentity& self);

// Returns true if `self` is among the `watchers` nodes of its failure domain
// that poll the backend server `vm`.
bool IsWatcherOf(const MemberTable& table,
                 const NodeIdentity& self,
                 const VmId& vm,
                 std::size_t watchers);

}  // namespace kumquatcart

#endif  // PEERS_OVERLAY_H_
