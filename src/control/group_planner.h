// Decides which servers of a fabric domain form which groups.
#ifndef CONTROL_GROUP_PLANNER_H_
#define CONTROL_GROUP_PLANNER_H_

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "model/backend_server.h"
#include "model/routing_config.h"

namespace kumquatcart {

// Whether a server can be counted on.
enum class ServerStanding {
  kUsable,   // Registered, reachable and not leaving.
  kLeaving,  // Answers, but is draining or no longer registered: it takes no
             // requests and may end at any moment.
  kLost,     // Does not answer.
};

// A server as the planner sees it.
struct PlannedServer {
  std::string id;
  ServerStanding standing = ServerStanding::kLost;
  bool assignable = false;  // Free to join: belongs to no group but a standby.
  std::string standby_model;  // The model that its standby group has loaded.
  bool is_loading = false;    // Its standby group is not ready yet.
  std::vector<std::string> staged_models;

  auto Tie() const {
    return std::tie(this->id, this->standing, this->assignable,
                    this->standby_model, this->is_loading, this->staged_models);
  }
};

// One fabric domain.
struct DomainInput {
  std::string service;
  std::string fabric_domain;
  std::vector<PlannedServer> servers;
  std::vector<GroupRecord> groups;  // Not dissolved.
  // Whose head gave up after it had waited for a member: they need a new epoch.
  std::set<std::string> broken_groups;
  std::vector<ModelSpec> models;
  // Servers in groups of each model in the rest of the failure domain.
  std::map<std::string, int> assigned_elsewhere;
  // Servers have come just now and more may follow: form no new groups yet, and
  // load no model that the servers' groups may not need.
  bool is_growing = false;
  // Planned from another failure domain, since this one's entry VMs are silent:
  // a partition may be what makes members look lost, so groups are mended but
  // not dissolved, and only where most servers answer.
  bool is_remote = false;
};

// A server to keep loaded with a model, ready to replace a lost member.
struct StandbyAssignment {
  std::string server;
  std::string model;
  // Loads the model into the VM's memory only: the server has another one
  // loaded already, and joins a group of either soon.
  bool stages_only = false;

  auto Tie() const {
    return std::tie(this->server, this->model, this->stages_only);
  }
};

struct DomainPlan {
  std::vector<GroupRecord> records;  // To be written; epochs are not set.
  std::vector<StandbyAssignment> standbys;

  auto Tie() const { return std::tie(this->records, this->standbys); }
};

// Replaces lost members where free servers allow and dissolves groups that
// cannot be made whole. Replaces leaving members by standbys that join soon;
// where there is none they stay, though not as heads. Forms groups of the
// models that lack most from free servers beyond a reserve, and spreads
// standbys over the models. The same input gives the same plan. Thread safe.
DomainPlan PlanDomain(const DomainInput& input);

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_PLANNER_H_
