#include "control/group_planner.h"

#include <set>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

ModelSpec Model(const std::string& name, int size, double share) {
  ModelSpec model;
  model.name = name;
  model.group_size = size;
  model.work_share = share;
  return model;
}

// A domain of `count` servers without groups.
DomainInput MakeDomain(int count, int large, int small) {
  DomainInput input;
  input.service = "service";
  input.fabric_domain = "d";
  input.models = {Model("large", large, 0.67), Model("small", small, 0.33)};
  for (int i = 0; i < count; ++i) {
    PlannedServer server;
    server.id = "s" + std::to_string(i);
    server.availability = ServerAvailability::kUsable;
    server.assignable = true;
    input.servers.push_back(server);
  }
  return input;
}

// The domain after its first plan has been executed.
DomainInput MakeRunningDomain() {
  DomainInput input = MakeDomain(11, 6, 3);
  const DomainPlan plan = PlanDomain(input);
  std::int64_t epoch = 1;
  for (GroupRecord record : plan.records) {
    record.epoch = epoch++;
    input.groups.push_back(record);
  }
  for (PlannedServer& server : input.servers) {
    for (const StandbyAssignment& standby : plan.standbys) {
      if (standby.server == server.id) {
        server.standby_model = standby.model;
        server.staged_models = {standby.model == "large" ? "small" : "large"};
      }
    }
  }
  return input;
}

PlannedServer* Find(DomainInput* input, const std::string& id) {
  for (PlannedServer& server : input->servers) {
    if (server.id == id) {
      return &server;
    }
  }
  return nullptr;
}

std::map<std::string, int> GroupsByModel(const DomainPlan& plan) {
  std::map<std::string, int> groups;
  for (const GroupRecord& record : plan.records) {
    ++groups[record.model];
  }
  return groups;
}

TEST_CASE("A domain of 11 forms one group of each model and two standbys") {
  const DomainPlan plan = PlanDomain(MakeDomain(11, 6, 3));
  CHECK(GroupsByModel(plan) ==
        std::map<std::string, int>{{"large", 1}, {"small", 1}});
  REQUIRE(plan.standbys.size() == 2);
  CHECK(plan.standbys[0].model != plan.standbys[1].model);
}

TEST_CASE("A domain of 27 keeps a reserve and splits by the models' shares") {
  const DomainPlan plan = PlanDomain(MakeDomain(27, 12, 6));
  CHECK(GroupsByModel(plan) ==
        std::map<std::string, int>{{"large", 1}, {"small", 2}});
  CHECK(plan.standbys.size() == 3);
}

// Guards against a quarter of a model's groups that are missing while their
// servers wait as spares: 35 servers, of which 4 are to be spares, hold one
// group of 16 and three of 4, with 7 left.
TEST_CASE("A last group takes up to half of the reserve") {
  const DomainPlan plan = PlanDomain(MakeDomain(35, 16, 4));
  CHECK(GroupsByModel(plan) ==
        std::map<std::string, int>{{"large", 1}, {"small", 4}});
  CHECK(plan.standbys.size() == 3);
  // Not more than half of it.
  CHECK(PlanDomain(MakeDomain(33, 16, 4)).records.size() == 4);
}

TEST_CASE("No server is in two groups") {
  const DomainPlan plan = PlanDomain(MakeDomain(40, 6, 3));
  std::set<std::string> seen;
  for (const GroupRecord& record : plan.records) {
    for (const std::string& id : record.members) {
      CHECK(seen.insert(id).second);
    }
  }
}

TEST_CASE("An executed plan is not planned again") {
  const DomainPlan plan = PlanDomain(MakeRunningDomain());
  CHECK(plan.records.empty());
  CHECK(plan.standbys.empty());
}

TEST_CASE("A lost member is replaced by the standby of its model") {
  DomainInput input = MakeRunningDomain();
  const GroupRecord group = input.groups[0];
  Find(&input, group.members[0])->availability = ServerAvailability::kLost;
  const DomainPlan plan = PlanDomain(input);
  REQUIRE(plan.records.size() == 1);
  const GroupRecord& next = plan.records[0];
  CHECK(next.group == group.group);
  CHECK(next.members.size() == group.members.size());
  CHECK(next.members.front() == group.members[1]);
  CHECK(Find(&input, next.members.back())->standby_model == group.model);
}

// Guards against a server that stays idle after a restart, since its former
// start is listed by a group that cannot use it.
TEST_CASE("A member that has started again may rejoin as a free server") {
  DomainInput input = MakeRunningDomain();
  const GroupRecord group = input.groups[0];
  for (const PlannedServer& server : input.servers) {
    if (!server.standby_model.empty()) {
      Find(&input, server.id)->availability = ServerAvailability::kLost;
    }
  }
  CHECK(PlanDomain(input).records.empty());
  input.departed_members[group.group] = {group.members[0]};
  const DomainPlan plan = PlanDomain(input);
  REQUIRE(plan.records.size() == 1);
  CHECK(plan.records[0].group == group.group);
  CHECK(std::set<std::string>(plan.records[0].members.begin(),
                              plan.records[0].members.end()) ==
        std::set<std::string>(group.members.begin(), group.members.end()));
  CHECK(plan.records[0].members.back() == group.members[0]);
}

TEST_CASE(
    "A group with too few free servers for its lost members is dissolved") {
  DomainInput input = MakeRunningDomain();
  const GroupRecord group = input.groups[0];
  for (int i = 0; i < 3; ++i) {
    Find(&input, group.members[static_cast<std::size_t>(i)])->availability =
        ServerAvailability::kLost;
  }
  const DomainPlan plan = PlanDomain(input);
  REQUIRE(!plan.records.empty());
  CHECK(plan.records[0].group == group.group);
  CHECK(plan.records[0].members.empty());
}

TEST_CASE("Groups of an unreachable domain are kept while registered") {
  DomainInput input = MakeRunningDomain();
  for (PlannedServer& server : input.servers) {
    server.availability = ServerAvailability::kLost;
  }
  CHECK(PlanDomain(input).records.empty());
  input.servers.clear();
  CHECK(PlanDomain(input).records.size() == 2);
}

TEST_CASE("After a partition heals, a remote planner dissolves nothing") {
  DomainInput input = MakeRunningDomain();
  input.is_remote = true;
  // Most servers are reachable again, except four members of one group.
  const GroupRecord group = input.groups[0];
  for (std::size_t i = 0; i < 4; ++i) {
    Find(&input, group.members[i])->availability = ServerAvailability::kLost;
  }
  CHECK(PlanDomain(input).records.empty());
  // If most of the domain is unreachable, no member is replaced either.
  for (PlannedServer& server : input.servers) {
    server.availability = ServerAvailability::kLost;
  }
  Find(&input, input.servers.back().id)->availability =
      ServerAvailability::kUsable;
  Find(&input, group.members[0])->availability = ServerAvailability::kUsable;
  CHECK(PlanDomain(input).records.empty());
  input.is_remote = false;
  CHECK(!PlanDomain(input).records.empty());
}

TEST_CASE("A broken group is formed anew with the same members") {
  DomainInput input = MakeRunningDomain();
  input.broken_groups.insert(input.groups[1].group);
  const DomainPlan plan = PlanDomain(input);
  REQUIRE(plan.records.size() == 1);
  CHECK(plan.records[0].members == input.groups[1].members);
}

TEST_CASE("A standby holds the other model in its VM's memory") {
  DomainInput input = MakeRunningDomain();
  for (PlannedServer& server : input.servers) {
    server.staged_models = {server.standby_model};
  }
  const DomainPlan plan = PlanDomain(input);
  REQUIRE(plan.standbys.size() == 2);
  for (const StandbyAssignment& standby : plan.standbys) {
    CHECK(standby.stages_only);
    CHECK(standby.model != Find(&input, standby.server)->standby_model);
  }
}

TEST_CASE("A leaving member is replaced by a standby that joins soon") {
  DomainInput input = MakeRunningDomain();
  const GroupRecord group = input.groups[0];
  Find(&input, group.members[1])->availability = ServerAvailability::kLeaving;
  const DomainPlan plan = PlanDomain(input);
  REQUIRE(plan.records.size() == 1);
  CHECK(plan.records[0].members.size() == group.members.size());
  CHECK(std::count(plan.records[0].members.begin(),
                   plan.records[0].members.end(), group.members[1]) == 0);
}

// Guards against all groups of a large model being formed anew at once: the
// entries of a tenth of the servers expire within a second while the servers
// work on, and nearly every group of 16 has such a member.
TEST_CASE("A serving group keeps members that merely lack an entry") {
  DomainInput input = MakeRunningDomain();
  const GroupRecord group = input.groups[0];
  input.serving_groups = {group.group};
  input.group_counts = {{"large", {4, 4}}};
  PlannedServer* member = Find(&input, group.members[1]);
  member->availability = ServerAvailability::kLeaving;
  CHECK(PlanDomain(input).records.empty());
  member->states_leaving = true;
  CHECK(PlanDomain(input).records.size() == 1);
  member->states_leaving = false;
  // A lost member needs a new record in any case.
  Find(&input, group.members[2])->availability = ServerAvailability::kLost;
  const DomainPlan plan = PlanDomain(input);
  REQUIRE(plan.records.size() == 1);
  CHECK(std::count(plan.records[0].members.begin(),
                   plan.records[0].members.end(), group.members[2]) == 0);
}

// Guards against the same during a planned shutdown of many servers, which all
// state that they are leaving: their groups are formed anew in turn.
TEST_CASE("Half of a model's groups serve while leaving members are replaced") {
  DomainInput input = MakeRunningDomain();
  const GroupRecord group = input.groups[0];
  PlannedServer* member = Find(&input, group.members[1]);
  member->availability = ServerAvailability::kLeaving;
  member->states_leaving = true;
  input.serving_groups = {group.group};
  input.group_counts = {{"large", {2, 1}}};
  CHECK(PlanDomain(input).records.empty());
  input.group_counts = {{"large", {2, 2}}};
  CHECK(PlanDomain(input).records.size() == 1);
  // The only group has no other one to wait for.
  input.group_counts = {{"large", {1, 1}}};
  CHECK(PlanDomain(input).records.size() == 1);
  // A group that takes no requests loses nothing.
  input.group_counts = {{"large", {2, 1}}};
  input.serving_groups.clear();
  CHECK(PlanDomain(input).records.size() == 1);
}

// Guards against two groups that one plan stops although each alone may be.
TEST_CASE("One plan stops no more groups than may stop together") {
  DomainInput input = MakeDomain(12, 3, 2);
  input.servers[10].standby_model = "large";
  input.servers[11].standby_model = "large";
  std::int64_t epoch = 0;
  for (const char* name : {"d.1", "d.2", "d.3"}) {
    GroupRecord group;
    group.group = name;
    group.model = "large";
    group.epoch = ++epoch;
    for (std::int64_t i = 3 * epoch - 3; i < 3 * epoch; ++i) {
      PlannedServer& server = input.servers[static_cast<std::size_t>(i)];
      group.members.push_back(server.id);
      server.assignable = false;
    }
    input.groups.push_back(group);
    input.serving_groups.insert(name);
  }
  for (const std::size_t i : {1U, 4U}) {
    input.servers[i].availability = ServerAvailability::kLeaving;
    input.servers[i].states_leaving = true;
  }
  input.is_growing = true;  // No new groups.
  input.group_counts = {{"large", {4, 3}}};
  CHECK(PlanDomain(input).records.size() == 1);
  input.group_counts = {{"large", {4, 4}}};
  CHECK(PlanDomain(input).records.size() == 2);
}

TEST_CASE("A leaving member stays while no standby can replace it") {
  DomainInput input = MakeRunningDomain();
  for (PlannedServer& server : input.servers) {
    if (!server.standby_model.empty()) {
      server.availability = ServerAvailability::kLost;
    }
  }
  const GroupRecord group = input.groups[0];
  Find(&input, group.members[1])->availability = ServerAvailability::kLeaving;
  CHECK(PlanDomain(input).records.empty());
  // A leaving head is moved to the end, since a head takes requests.
  Find(&input, group.members[0])->availability = ServerAvailability::kLeaving;
  const DomainPlan plan = PlanDomain(input);
  REQUIRE(plan.records.size() == 1);
  CHECK(plan.records[0].members.size() == group.members.size());
  CHECK(plan.records[0].members.front() == group.members[2]);
}

TEST_CASE("A domain that is still growing forms no groups") {
  DomainInput input = MakeDomain(11, 6, 3);
  input.is_growing = true;
  CHECK(PlanDomain(input).records.empty());
  CHECK(PlanDomain(input).standbys.empty());
}

TEST_CASE("A server that has not left its former group is not assigned") {
  DomainInput input = MakeRunningDomain();
  const GroupRecord group = input.groups[0];
  Find(&input, group.members[0])->availability = ServerAvailability::kLost;
  for (PlannedServer& server : input.servers) {
    if (!server.standby_model.empty()) {
      server.assignable = false;
    }
  }
  const DomainPlan plan = PlanDomain(input);
  REQUIRE(plan.records.size() == 1);
  CHECK(plan.records[0].members.empty());
}

}  // namespace
}  // namespace kumquatcart
