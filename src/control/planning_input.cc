#include "control/planning_input.h"

#include <map>
#include <utility>

#include "control/standby_name.h"

namespace kumquatcart {

namespace {

// A domain whose newest server is younger may still be registering others.
constexpr Duration kDomainSettles = std::chrono::milliseconds(350);
// The same before the first request: then there is time, and groups formed from
// a part of the domain would not be the ones that the whole domain should have.
constexpr Duration kFirstServersSettle = std::chrono::milliseconds(1300);

PlannedServer Describe(const BackendServer& server, const FleetView& view) {
  PlannedServer planned;
  planned.id = server.id;
  planned.standing = view.StandingOf(server.id);
  planned.staged_models = server.staged_models;
  planned.assignable =
      !server.membership || server.membership->group == StandbyName(server.id);
  if (server.membership && planned.assignable) {
    planned.is_loading = server.membership->state == MembershipState::kJoining;
    planned.standby_model =
        planned.is_loading ? std::string() : server.loaded_model;
  }
  return planned;
}

// Members of groups elsewhere in the failure domain, by model.
std::map<std::string, int> AssignedElsewhere(const FabricDomain& domain,
                                             const FleetView& view) {
  std::map<std::string, int> assigned;
  for (const auto& entry : view.Groups()) {
    const GroupRecord& record = entry.second.record;
    if (record.fabric_domain == domain.name) {
      continue;
    }
    const BackendServer* head = view.HeadOf(record);
    if (head != nullptr && head->failure_domain == domain.failure_domain) {
      assigned[record.model] += static_cast<int>(record.members.size());
    }
  }
  return assigned;
}

}  // namespace

std::vector<FabricDomain> ListFabricDomains(const FleetView& view) {
  const RoutingConfig& config = *view.Config();
  std::map<std::string, FabricDomain> by_name;
  for (const auto& entry : view.Servers()) {
    const BackendServer& server = entry.second;
    const EngineSpec* engine = config.FindEngine(server.service);
    if (server.fabric_domain.empty() || engine == nullptr) {
      continue;
    }
    FabricDomain& domain = by_name[server.fabric_domain];
    domain.service = server.service;
    domain.name = server.fabric_domain;
    domain.failure_domain = server.failure_domain;
    domain.engine = engine;
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
  input.assigned_elsewhere = AssignedElsewhere(domain, view);
  input.is_growing = now - view.DomainChangedAt(domain.name) <
                     (view.HasTraffic() ? kDomainSettles : kFirstServersSettle);
  input.is_remote = domain.failure_domain != own_failure_domain;
  for (const BackendServer* server : domain.servers) {
    input.servers.push_back(Describe(*server, view));
  }
  for (const auto& entry : view.Groups()) {
    const GroupRecord& record = entry.second.record;
    if (record.fabric_domain != domain.name || record.members.empty()) {
      continue;
    }
    input.groups.push_back(record);
    const BackendServer* head = view.HeadOf(record);
    if (head != nullptr && IsMemberOf(*head, record) &&
        head->membership->state == MembershipState::kBroken) {
      input.broken_groups.insert(record.group);
    }
  }
  return input;
}

}  // namespace kumquatcart
