#include "control/planning_input.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "control/standby_name.h"

namespace kumquatcart {

namespace {

// Time after the registration of a server during which more servers of its
// domain are expected.
constexpr Duration kDomainSettleTime = std::chrono::milliseconds(350);
// The same before the first request. A longer wait is harmless then, and groups
// formed from only a part of the domain would differ from those that suit the
// whole domain.
constexpr Duration kInitialDomainSettleTime = std::chrono::milliseconds(1300);

PlannedServer MakePlannedServer(const BackendServer& server,
                                const FleetView& view) {
  PlannedServer planned;
  planned.id = server.id;
  planned.availability = view.AvailabilityOf(server.id);
  planned.states_leaving = server.draining;
  planned.staged_models = server.staged_models;
  planned.assignable = !server.membership ||
                       server.membership->group == StandbyGroupName(server.id);
  if (server.membership && planned.assignable) {
    planned.is_loading = server.membership->state == MembershipState::kJoining;
    planned.standby_model =
        planned.is_loading ? std::string() : server.loaded_model;
  }
  return planned;
}

// Whether the failure domain has enough servers for its share of every model.
bool HoldsEveryModel(const FabricDomain& domain, const FleetView& view) {
  const auto servers = std::count_if(
      view.Servers().begin(), view.Servers().end(),
      [&domain](const auto& entry) {
        return entry.second.service == domain.service &&
               entry.second.failure_domain == domain.failure_domain;
      });
  const std::vector<ModelSpec>& models = domain.engine->models;
  return std::all_of(models.begin(), models.end(),
                     [servers](const ModelSpec& model) {
                       return model.work_share * static_cast<double>(servers) >=
                              model.group_size;
                     });
}

// Number of group members by model in the other fabric domains of the failure
// domain.
ServersByModel AssignedElsewhere(const FabricDomain& domain,
                                 const FleetView& view) {
  ServersByModel assigned;
  for (const auto& entry : view.Groups()) {
    const GroupRecord& record = entry.second.record;
    if (record.members.empty() || record.fabric_domain == domain.name) {
      continue;
    }
    const BackendServer* head = view.FindServer(record.members.front());
    if (head != nullptr && head->failure_domain == domain.failure_domain) {
      assigned[record.model] += static_cast<int>(record.members.size());
    }
  }
  return assigned;
}

// Groups by model in the failure domain of `domain`.
std::map<std::string, GroupCount> CountGroups(const FabricDomain& domain,
                                              const FleetView& view) {
  std::map<std::string, GroupCount> counts;
  for (const auto& entry : view.Groups()) {
    const GroupRecord& record = entry.second.record;
    const BackendServer* head = record.members.empty()
                                    ? nullptr
                                    : view.FindServer(record.members.front());
    if (head != nullptr && record.service == domain.service &&
        head->failure_domain == domain.failure_domain) {
      GroupCount& count = counts[record.model];
      ++count.recorded;
      count.serving += view.Serves(entry.second) ? 1 : 0;
    }
  }
  return counts;
}

// Servers wanted for new groups in `domain` if the models' shares hold for all
// failure domains together.
ServersByModel WantedServers(const FabricDomain& domain,
                             const FleetView& view) {
  ServersByModel assigned;
  std::set<std::string> members;
  for (const auto& entry : view.Groups()) {
    const GroupRecord& record = entry.second.record;
    if (record.service == domain.service) {
      assigned[record.model] += static_cast<int>(record.members.size());
      members.insert(record.members.begin(), record.members.end());
    }
  }
  std::vector<FreeServers> free_servers;
  for (const FabricDomain& known : ListFabricDomains(view)) {
    if (known.service != domain.service) {
      continue;
    }
    int usable = 0;
    int free = 0;
    for (const BackendServer* server : known.servers) {
      const bool is_usable = view.IsUsable(server->id);
      usable += is_usable ? 1 : 0;
      free += is_usable && members.count(server->id) == 0 ? 1 : 0;
    }
    free_servers.push_back(
        {known.name, free - ReserveSize(static_cast<std::size_t>(usable))});
  }
  return ShareModels(domain.engine->models, std::move(assigned), free_servers,
                     domain.name);
}

// Time at which the newest server was first seen that may change the plan.
MonotonicTime NewestServerTime(const FabricDomain& domain,
                               const FleetView& view,
                               bool shares_models) {
  MonotonicTime newest = view.NewestServerSeenAt(domain.name);
  if (shares_models) {
    for (const auto& entry : view.Servers()) {
      newest =
          std::max(newest, view.NewestServerSeenAt(entry.second.fabric_domain));
    }
  }
  return newest;
}

}  // namespace

std::vector<FabricDomain> ListFabricDomains(const FleetView& view) {
  const RoutingConfig& config = *view.Config();
  std::map<std::string, FabricDomain> by_name;
  for (const auto& entry : view.Servers()) {
    const BackendServer& server = entry.second;
    const auto service = config.services.find(server.service);
    if (server.fabric_domain.empty() || service == config.services.end() ||
        !service->second.engine) {
      continue;
    }
    FabricDomain& domain = by_name[server.fabric_domain];
    domain.service = server.service;
    domain.name = server.fabric_domain;
    domain.failure_domain = server.failure_domain;
    domain.engine = &*service->second.engine;
    domain.servers.push_back(&server);
  }
  std::vector<FabricDomain> domains;
  for (auto& entry : by_name) {
    domains.push_back(std::move(entry.second));
  }
  return domains;
}

DomainInput MakePlanningInput(const FabricDomain& domain,
                              const FleetView& view,
                              const std::string& own_failure_domain,
                              MonotonicTime now) {
  DomainInput input;
  input.service = domain.service;
  input.fabric_domain = domain.name;
  input.models = domain.engine->models;
  input.group_counts = CountGroups(domain, view);
  input.assigned_elsewhere = AssignedElsewhere(domain, view);
  const bool shares_models = !HoldsEveryModel(domain, view);
  if (shares_models) {
    input.wanted_servers = WantedServers(domain, view);
  }
  input.is_growing =
      now -
          NewestServerTime(domain, view, shares_models && !view.HasTraffic()) <
      (view.HasTraffic() ? kDomainSettleTime : kInitialDomainSettleTime);
  input.is_remote = domain.failure_domain != own_failure_domain;
  for (const BackendServer* server : domain.servers) {
    input.servers.push_back(MakePlannedServer(*server, view));
  }
  for (const auto& entry : view.Groups()) {
    const GroupRecord& record = entry.second.record;
    if (record.fabric_domain != domain.name || record.members.empty()) {
      continue;
    }
    input.groups.push_back(record);
    if (view.Serves(entry.second)) {
      input.serving_groups.insert(entry.first);
    }
    for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
      const std::string& id = record.members[rank];
      const BackendServer* server = view.FindServer(id);
      if (server != nullptr && (HasRestartedSince(*server, record, rank) ||
                                !view.IsLatestClaim(record, id))) {
        input.departed_members[record.group].insert(id);
      }
    }
    const BackendServer* head = view.FindServer(record.members.front());
    if (head != nullptr && IsMemberOf(*head, record) &&
        head->membership->state == MembershipState::kBroken) {
      input.broken_groups.insert(record.group);
    }
  }
  return input;
}

}  // namespace kumquatcart
