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

// Name of the topic for group summaries.
inline constexpr char kGroupTopic[] = "groups";

// Two nodes of each failure domain report its groups to all nodes. State
// changes are sent immediately; changes of load alone are sent at most every
// `kLoadInterval`. A group is whole only if every live reporter of its failure
// domain reports it as whole. Thread safe.
class GroupExchange {
 public:
  // Precondition: the pointers outlive the exchange.
  GroupExchange(Clock* clock, Board* board, PeerNetwork* network);

  // Registers the topic. Precondition: the network is not started.
  void RegisterTopic();

  // Reports the groups of this node's failure domain if the node is a reporter.
  // Must be called with each new group table.
  void Report(const GroupTable& groups);

  // Returns the groups that live reporters of other failure domains report.
  GroupTable RemoteGroups();

 private:
  struct LastReport {
    ReplicaGroup group;
    MonotonicTime at;
  };

  // Returns the summary of `group` to report now, in which a changed load may
  // be withheld until the load interval ends. Precondition: `mutex` is held.
  ReplicaGroup LimitLoadReports(const ReplicaGroup& group);

  Clock* clock;
  Board* board;
  PeerNetwork* network;
  std::shared_ptr<ReportTopic> topic;

  std::mutex mutex;  // Guards `last_reports`; acquired before the topic's lock.
  std::map<GroupId, LastReport> last_reports;
};

// Returns the compact form of a group for reports, without its members.
Json ToSummary(const ReplicaGroup& group);

// Errors: kInvalidArgument.
Result<ReplicaGroup> FromSummary(const GroupId& id, const Json& summary);

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_EXCHANGE_H_
