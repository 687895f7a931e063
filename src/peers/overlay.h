// Which peers a node observes and which nodes take on shared duties.
//
// Pure functions of the member table; every node computes the same answer from
// the same table without asking.
#ifndef PEERS_OVERLAY_H_
#define PEERS_OVERLAY_H_

#include <cstddef>
#include <set>

#include "base/ids.h"
#include "model/member.h"

namespace kumquatcart {

// How many nodes observe each member.
struct OverlayShape {
  std::size_t same_domain_observers = 3;   // Of the member's failure domain.
  std::size_t other_domain_observers = 2;  // Of other failure domains.
};

// Nodes of one failure domain that read the platform's log.
constexpr std::size_t kLogReadersPerFailureDomain = 2;

// Returns the members that `self` observes and keeps a connection to. Where a
// failure domain has too few nodes, nodes of others fill up. Each member that
// is not dead has the same number of observers, chosen by rendezvous hashing.
std::set<NodeId> ChooseObserved(const MemberTable& table,
                                const NodeId& self,
                                const OverlayShape& shape);

// True when `self` reads the platform's log for its failure domain. A node that
// sees none of its peers reads for itself; when no chosen reader reaches the
// platform, others that do take over.
bool IsLogReader(const MemberTable& table, const NodeIdentity& self);

// Nodes of one failure domain that report its groups to the others.
constexpr std::size_t kGroupReportersPerFailureDomain = 2;

// True when `self` reports the groups of its failure domain.
bool IsGroupReporter(const MemberTable& table, const NodeIdentity& self);

// True when `self` is among the `watchers` nodes of its failure domain that
// poll the backend server `vm`.
bool IsWatcherOf(const MemberTable& table,
                 const NodeIdentity& self,
                 const VmId& vm,
                 std::size_t watchers);

}  // namespace kumquatcart

#endif  // PEERS_OVERLAY_H_
