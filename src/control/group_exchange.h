// Exchange of group summaries between failure domains.
#ifndef CONTROL_GROUP_EXCHANGE_H_
#define CONTROL_GROUP_EXCHANGE_H_

#include <map>
#include <memory>
#include <mutex>

#include "base/clock.h"
#include "board/board.h"
#include "peers/peer_network.h"
#include "peers/report_topic.h"

namespace kumquatcart {

// Name of the topic of group summaries.
inline constexpr char kGroupTopic[] = "groups";

// Two nodes of each failure domain report its groups to all nodes. A change of
// state travels at once; figures of load that changed alone wait for
// `load_interval`. A group counts as whole only when every living reporter of
// its failure domain says so. Thread safe.
class GroupExchange {
 public:
  // Precondition: the pointers outlive the exchange.
  GroupExchange(Clock* clock, Board* board, PeerNetwork* network);

  // Registers the topic. Precondition: the network is not started.
  void Join();

  // Reports the groups of the own failure domain, if this node is a reporter.
  // Call with each new group table.
  void Report(const GroupTable& groups);

  // The groups that living reporters of other failure domains report.
  GroupTable RemoteGroups();

 private:
  struct Told {
    ReplicaGroup group;
    MonotonicTime at;
  };

  // What to report of `group` now: figures of load may stay as they were told.
  // Precondition: `mutex` is held.
  ReplicaGroup Settle(const ReplicaGroup& group);

  Clock* clock;
  Board* board;
  PeerNetwork* network;
  std::shared_ptr<ReportTopic> topic;

  std::mutex mutex;  // Guards `told`; taken before the topic's lock.
  std::map<GroupId, Told> told;
};

// The compact form of a group in reports; members are left out.
Json ToSummary(const ReplicaGroup& group);

// Errors: kInvalidArgument.
Result<ReplicaGroup> FromSummary(const GroupId& id, const Json& summary);

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_EXCHANGE_H_
