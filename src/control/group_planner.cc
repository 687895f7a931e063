#include "control/group_planner.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>

#include "base/contains.h"

namespace kumquatcart {

namespace {

// Share of a domain's usable servers kept free to replace lost members.
constexpr double kReserveFraction = 0.12;

// Cost of a join that loads the model from the weight store.
constexpr int kColdJoinCost = 2;

// Plans one domain. Created for each call of PlanDomain().
class DomainPlanner {
 public:
  explicit DomainPlanner(const DomainInput& input)
      : input(input),
        assigned_servers(input.assigned_elsewhere),
        group_counts(input.group_counts) {
    std::set<std::string> in_groups;
    for (const GroupRecord& group : input.groups) {
      std::copy_if(group.members.begin(), group.members.end(),
                   std::inserter(in_groups, in_groups.end()),
                   [this, &group](const std::string& id) {
                     return !this->HasDeparted(group, id);
                   });
      this->group_names.insert(group.group);
    }
    for (const PlannedServer& server : input.servers) {
      this->availabilities[server.id] = server.availability;
      if (server.states_leaving) {
        this->stating_leaving.insert(server.id);
      }
      if (server.availability == ServerAvailability::kUsable &&
          server.assignable && in_groups.count(server.id) == 0) {
        this->free_servers.push_back(&server);
      }
    }
  }

  DomainPlan Plan() {
    if (this->input.is_remote &&
        2 * this->UsableServers() <= this->input.servers.size()) {
      return {};
    }
    for (const GroupRecord& group : this->input.groups) {
      this->PlanGroup(group);
    }
    if (!this->input.is_growing) {
      while (this->FormGroup()) {
      }
      this->AssignStandbys();
    }
    return std::move(this->plan);
  }

 private:
  ServerAvailability AvailabilityOf(const std::string& id) const {
    const auto found = this->availabilities.find(id);
    return found == this->availabilities.end() ? ServerAvailability::kLost
                                               : found->second;
  }

  bool HasDeparted(const GroupRecord& group, const std::string& id) const {
    const auto found = this->input.departed_members.find(group.group);
    return found != this->input.departed_members.end() &&
           found->second.count(id) > 0;
  }

  ServerAvailability MemberAvailability(const GroupRecord& group,
                                        const std::string& id) const {
    return this->HasDeparted(group, id) ? ServerAvailability::kLost
                                        : this->AvailabilityOf(id);
  }

  // Relative cost for `server` to join a group of `model`: 0 if the model is
  // loaded, 1 if it is staged in memory, kColdJoinCost otherwise.
  static int JoinCost(const PlannedServer& server, const std::string& model) {
    if (server.standby_model == model) {
      return 0;
    }
    return Contains(server.staged_models, model) ? 1 : kColdJoinCost;
  }

  // Whether a free server can join a group of `model` without loading it from
  // the weight store.
  bool HasFreeWarmServer(const std::string& model) const {
    return std::any_of(this->free_servers.begin(), this->free_servers.end(),
                       [&model](const PlannedServer* server) {
                         return JoinCost(*server, model) < kColdJoinCost;
                       });
  }

  // Removes the free server with the lowest join cost for `model` and returns
  // its id. Precondition: there is a free server.
  std::string TakeFree(const std::string& model) {
    const auto best = std::min_element(
        this->free_servers.begin(), this->free_servers.end(),
        [&model](const PlannedServer* left, const PlannedServer* right) {
          return JoinCost(*left, model) < JoinCost(*right, model);
        });
    std::string id = (*best)->id;
    this->free_servers.erase(best);
    return id;
  }

  // Whether every member is lost and at least one of them is still listed, as
  // in an outage of the whole domain. The group may recover unchanged, and its
  // servers cannot be used otherwise in the meantime.
  bool MayRecover(const GroupRecord& group) const {
    return std::all_of(group.members.begin(), group.members.end(),
                       [this, &group](const std::string& id) {
                         return this->MemberAvailability(group, id) ==
                                ServerAvailability::kLost;
                       }) &&
           std::any_of(group.members.begin(), group.members.end(),
                       [this, &group](const std::string& id) {
                         return this->availabilities.count(id) > 0 &&
                                !this->HasDeparted(group, id);
                       });
  }

  void PlanGroup(const GroupRecord& group) {
    std::vector<std::string> kept;     // Usable members in record order.
    std::vector<std::string> leaving;  // Members that still answer.
    for (const std::string& id : group.members) {
      switch (this->MemberAvailability(group, id)) {
        case ServerAvailability::kUsable:
          kept.push_back(id);
          break;
        case ServerAvailability::kLeaving:
          leaving.push_back(id);
          break;
        case ServerAvailability::kLost:
          break;
      }
    }
    const std::size_t lost =
        group.members.size() - kept.size() - leaving.size();
    if (this->MayRecover(group)) {
      this->AddAssigned(group.model, group.members.size());
      return;
    }
    const bool is_broken = this->input.broken_groups.count(group.group) > 0;
    if (lost > this->free_servers.size() || kept.empty()) {
      if (!this->input.is_remote) {
        this->AddRecord(group, {});
      }
      return;
    }
    bool changed = is_broken || lost > 0;
    for (std::size_t i = 0; i < lost; ++i) {
      kept.push_back(this->TakeFree(group.model));
    }
    const bool replaces_leaving =
        changed ||
        (this->MayPauseGroup(group) &&
         (!this->IsServing(group) || this->AnyStatesLeaving(leaving)));
    for (const std::string& id : leaving) {
      if (replaces_leaving && this->HasFreeWarmServer(group.model)) {
        kept.push_back(this->TakeFree(group.model));
        changed = true;
      } else {
        changed = changed || id == group.members.front();
        kept.push_back(id);  // At the end, so that it is not the head.
      }
    }
    this->AddAssigned(group.model, kept.size());
    if (changed) {
      this->NotePaused(group);
      this->AddRecord(group, std::move(kept));
    }
  }

  bool IsServing(const GroupRecord& group) const {
    return this->input.serving_groups.count(group.group) > 0;
  }

  // Whether a new record may stop `group` from taking requests until it is
  // open again. Entries of many servers can expire at once while the servers
  // work on, and nearly every large group has such a member then.
  bool MayPauseGroup(const GroupRecord& group) const {
    const auto count = this->group_counts.find(group.model);
    return !this->IsServing(group) || count == this->group_counts.end() ||
           count->second.serving > MinServingGroups(count->second.recorded);
  }

  bool AnyStatesLeaving(const std::vector<std::string>& ids) const {
    return std::any_of(ids.begin(), ids.end(), [this](const std::string& id) {
      return this->stating_leaving.count(id) > 0;
    });
  }

  void NotePaused(const GroupRecord& group) {
    const auto count = this->group_counts.find(group.model);
    if (this->IsServing(group) && count != this->group_counts.end()) {
      --count->second.serving;
    }
  }

  void AddAssigned(const std::string& model, std::size_t servers) {
    this->assigned_servers[model] += static_cast<int>(servers);
  }

  // Adds a new record of `group` to the plan. Remaining members come first in
  // `members`, so that the head has its model loaded.
  void AddRecord(const GroupRecord& group, std::vector<std::string> members) {
    GroupRecord next = group;
    next.epoch = 0;
    next.members = std::move(members);
    this->plan.records.push_back(std::move(next));
  }

  std::size_t UsableServers() const {
    return static_cast<std::size_t>(std::count_if(
        this->input.servers.begin(), this->input.servers.end(),
        [](const PlannedServer& server) {
          return server.availability == ServerAvailability::kUsable;
        }));
  }

  // Number of servers that `model` is short of.
  double DeficitOf(const ModelSpec& model) const {
    if (!this->input.wanted_servers) {
      return ServerDeficit(model, this->assigned_servers);
    }
    const auto count = [&model](const ServersByModel& servers) {
      const auto found = servers.find(model.name);
      return found == servers.end() ? 0 : found->second;
    };
    return count(*this->input.wanted_servers) - count(this->formed_servers);
  }

  // The model with the largest deficit of those whose groups have at most
  // `available` members, or null.
  const ModelSpec* ChooseModel(int available) const {
    const ModelSpec* chosen = nullptr;
    for (const ModelSpec& model : this->input.models) {
      if (model.group_size <= available &&
          (chosen == nullptr ||
           this->DeficitOf(model) > this->DeficitOf(*chosen))) {
        chosen = &model;
      }
    }
    return chosen;
  }

  // A last group may take half of the reserve: otherwise nearly a whole group's
  // servers could stay idle beside it.
  bool FormGroup() {
    const int free = static_cast<int>(this->free_servers.size());
    const int reserve = ReserveSize(this->UsableServers());
    const ModelSpec* chosen = this->ChooseModel(free - reserve);
    if (chosen == nullptr) {
      chosen = this->ChooseModel(free - (reserve + 1) / 2);
    }
    if (chosen == nullptr) {
      return false;
    }
    GroupRecord record;
    record.group = this->UnusedName();
    record.service = this->input.service;
    record.model = chosen->name;
    record.fabric_domain = this->input.fabric_domain;
    for (int i = 0; i < chosen->group_size; ++i) {
      record.members.push_back(this->TakeFree(chosen->name));
    }
    this->assigned_servers[chosen->name] += chosen->group_size;
    this->formed_servers[chosen->name] += chosen->group_size;
    this->plan.records.push_back(std::move(record));
    return true;
  }

  std::string UnusedName() {
    for (int number = 1;; ++number) {
      std::string name =
          this->input.fabric_domain + "." + std::to_string(number);
      if (this->group_names.insert(name).second) {
        return name;
      }
    }
  }

  // Number of members of the model's groups in this domain, divided by the next
  // odd divisor for its standbys (Sainte-Lague method). This way the second
  // standby goes to the other model even if one model has twice as many
  // members.
  double StandbyPriority(const ModelSpec& model,
                         const std::map<std::string, int>& standbys) const {
    int members = 0;
    for (const GroupRecord& group : this->input.groups) {
      members += group.model == model.name
                     ? static_cast<int>(group.members.size())
                     : 0;
    }
    for (const GroupRecord& group : this->plan.records) {
      members += group.model == model.name
                     ? static_cast<int>(group.members.size())
                     : 0;
    }
    const auto own = standbys.find(model.name);
    return static_cast<double>(members) /
           (own == standbys.end() ? 1 : 2 * own->second + 1);
  }

  // Returns the model with the highest standby priority except `other_than`, or
  // null if there is none.
  const ModelSpec* NextStandbyModel(const std::map<std::string, int>& standbys,
                                    const std::string& other_than) const {
    const ModelSpec* chosen = nullptr;
    for (const ModelSpec& model : this->input.models) {
      if (model.name != other_than &&
          (chosen == nullptr || this->StandbyPriority(model, standbys) >
                                    this->StandbyPriority(*chosen, standbys))) {
        chosen = &model;
      }
    }
    return chosen;
  }

  void AssignStandbys() {
    std::map<std::string, int> standbys;
    for (const PlannedServer* server : this->free_servers) {
      if (!server->standby_model.empty()) {
        ++standbys[server->standby_model];
      }
    }
    for (const PlannedServer* server : this->free_servers) {
      const bool is_loaded = !server->standby_model.empty();
      const ModelSpec* model =
          this->NextStandbyModel(standbys, server->standby_model);
      if (model == nullptr || server->is_loading) {
        continue;
      }
      if (!is_loaded) {
        ++standbys[model->name];
        this->plan.standbys.push_back({server->id, model->name, false});
      } else if (!this->HasStagedOtherModel(*server)) {
        this->plan.standbys.push_back({server->id, model->name, true});
      }
    }
  }

  // Whether the server's VM has staged a model other than the loaded one.
  static bool HasStagedOtherModel(const PlannedServer& server) {
    return std::any_of(server.staged_models.begin(), server.staged_models.end(),
                       [&server](const std::string& model) {
                         return model != server.standby_model;
                       });
  }

  const DomainInput& input;
  ServersByModel assigned_servers;
  ServersByModel formed_servers;  // In groups that the plan forms.
  // As they are once the plan's records are written.
  std::map<std::string, GroupCount> group_counts;
  std::set<std::string> group_names;
  std::map<std::string, ServerAvailability> availabilities;
  std::set<std::string> stating_leaving;
  std::vector<const PlannedServer*> free_servers;
  DomainPlan plan;
};

}  // namespace

int MinServingGroups(int recorded) {
  return recorded / 2;
}

int ReserveSize(std::size_t usable) {
  return std::max(1, static_cast<int>(std::lround(
                         kReserveFraction * static_cast<double>(usable))));
}

DomainPlan PlanDomain(const DomainInput& input) {
  return DomainPlanner(input).Plan();
}

}  // namespace kumquatcart
