// Decides which servers of a fabric domain form which groups.
#ifndef CONTROL_GROUP_PLANNER_H_
#define CONTROL_GROUP_PLANNER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "control/model_shares.h"
#include "model/backend_server.h"
#include "model/routing_config.h"

namespace kumquatcart {

// Whether a server can take requests and be a group member.
enum class ServerAvailability {
  kUsable,   // Registered, reachable and not leaving.
  kLeaving,  // Answers, but is draining or no longer registered: it takes no
             // new requests and may terminate at any time.
  kLost,     // Does not answer, or another server or start has its address.
};

// State of a server as an input of the planner.
struct PlannedServer {
  std::string id;
  ServerAvailability availability = ServerAvailability::kLost;
  // Whether a leaving server has stated itself that it is leaving. Otherwise
  // its entry is missing, and may have expired while the server works on.
  bool states_leaving = false;
  // Whether it can join a group: it is a member of none but its standby group.
  bool assignable = false;
  std::string standby_model;  // Model loaded by its standby group.
  bool is_loading = false;    // Its standby group is not ready yet.
  std::vector<std::string> staged_models;

  auto Tie() const {
    return std::tie(this->id, this->availability, this->states_leaving,
                    this->assignable, this->standby_model, this->is_loading,
                    this->staged_models);
  }
};

// Number of groups of one model, and of those that take requests.
struct GroupCount {
  int recorded = 0;
  int serving = 0;

  auto Tie() const { return std::tie(this->recorded, this->serving); }
};

// State of one fabric domain as an input of the planner.
struct DomainInput {
  std::string service;
  std::string fabric_domain;
  std::vector<PlannedServer> servers;
  std::vector<GroupRecord> groups;  // Without dissolved ones.
  // Members that are lost to a group though their servers may be usable, by
  // group: those whose servers have started again since the group's record was
  // written, and those that a later record of another group lists.
  std::map<std::string, std::set<std::string>> departed_members;
  // Groups whose head reported a failure after waiting for a member. They need
  // a new epoch.
  std::set<std::string> broken_groups;
  // Groups that take requests.
  std::set<std::string> serving_groups;
  // Groups of each model in the failure domain.
  std::map<std::string, GroupCount> group_counts;
  std::vector<ModelSpec> models;
  // Number of servers in groups of each model in the other fabric domains of
  // the failure domain.
  ServersByModel assigned_elsewhere;
  // Servers wanted for new groups of each model, where the failure domain is
  // too small for its share of every model.
  std::optional<ServersByModel> wanted_servers;
  // Servers registered recently and more may follow. No groups are formed, and
  // no standby models are loaded, since the groups formed later may need
  // others.
  bool is_growing = false;
  // Planned from another failure domain, since this one's entry VMs do not
  // respond. Members may appear lost because of a network partition, so groups
  // are repaired but not dissolved, and only if most servers answer.
  bool is_remote = false;
};

// A free server and the model that it loads in order to replace a lost member.
struct StandbyAssignment {
  std::string server;
  std::string model;
  // Loads the model into the VM's memory only. The server already has another
  // model loaded, so that it can join a group of either model quickly.
  bool stages_only = false;

  auto Tie() const {
    return std::tie(this->server, this->model, this->stages_only);
  }
};

struct DomainPlan {
  std::vector<GroupRecord> records;  // Records to write; epochs are not set.
  std::vector<StandbyAssignment> standbys;

  auto Tie() const { return std::tie(this->records, this->standbys); }
};

// Replaces lost members by free servers and dissolves groups that cannot be
// completed. Replaces leaving members by standbys that need no cold load; if
// there is none, leaving members stay, but not as heads. While the group
// serves, members that merely lack an entry stay, too, and so do the others
// while too few groups of the model would serve. Forms groups from free
// servers beyond a reserve, for the models with the largest deficit first, and
// distributes standbys over the models. Deterministic. Thread safe.
DomainPlan PlanDomain(const DomainInput& input);

// Number of a model's `recorded` groups in a failure domain that keep serving
// while others replace leaving members. Thread safe.
int MinServingGroups(int recorded);

// Number of a fabric domain's `usable` servers that are kept free to replace
// lost members. Thread safe.
int ReserveSize(std::size_t usable);

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_PLANNER_H_
