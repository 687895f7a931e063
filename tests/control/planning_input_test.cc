#include "control/planning_input.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

const MonotonicTime kStart{std::chrono::seconds(100)};
constexpr char kService[] = "models";
constexpr char kModel[] = "large";

BackendServer Server(const std::string& id) {
  BackendServer server;
  server.id = id;
  server.service = kService;
  server.failure_domain = "zone";
  server.fabric_domain = "zone-d0";
  return server;
}

// Two open groups, "g0" of a0, a1 and a2 and "g1" of b0, b1 and b2, and a spare
// that has their model loaded.
FleetView MakeOpenGroups() {
  FleetView view;
  RoutingConfig config;
  config.version = 1;
  ServiceSpec service;
  service.name = kService;
  service.engine.emplace();
  ModelSpec model;
  model.name = kModel;
  model.group_size = 3;
  model.work_share = 1;
  service.engine->models = {model};
  config.services[kService] = service;
  view.AdoptConfig(std::make_shared<const RoutingConfig>(config));
  BackendServer spare = Server("spare");
  spare.staged_models = {kModel};
  view.PutServer(spare, kStart);
  std::int64_t epoch = 0;
  for (const std::string prefix : {"a", "b"}) {
    GroupRecord record;
    record.group = "g" + std::to_string(epoch);
    record.epoch = ++epoch;
    record.service = kService;
    record.model = kModel;
    record.fabric_domain = "zone-d0";
    for (const char* const rank : {"0", "1", "2"}) {
      view.PutServer(Server(prefix + rank), kStart);
      record.members.push_back(prefix + rank);
    }
    view.PutRecord(record);
    view.SetOpen(record.group, record.epoch, true);
  }
  return view;
}

DomainInput MakeInput(const FleetView& view) {
  return MakePlanningInput(ListFabricDomains(view).front(), view, "zone",
                           kStart + std::chrono::seconds(10));
}

// Guards against a planner that takes a server whose entry has expired for one
// that ends, and closes its group.
TEST_CASE("An expired entry is told from a statement of leaving") {
  FleetView view = MakeOpenGroups();
  view.RemoveServer("a1", kStart);
  view.ExpireServers(kStart);
  CHECK(MakeInput(view).serving_groups == std::set<std::string>{"g0", "g1"});
  CHECK(PlanDomain(MakeInput(view)).records.empty());
  BackendServer leaving = Server("b1");
  leaving.draining = true;
  view.PutServer(leaving, kStart);
  const DomainPlan plan = PlanDomain(MakeInput(view));
  REQUIRE(plan.records.size() == 1);
  CHECK(plan.records[0].group == "g1");
  CHECK(plan.records[0].members.back() == "spare");
}

// Guards against a planner that closes the last group that serves.
TEST_CASE("The groups of the failure domain that serve are counted") {
  FleetView view = MakeOpenGroups();
  const GroupCount both{2, 2};
  CHECK(MakeInput(view).group_counts.at(kModel) == both);
  view.SetReachable("a1", false, kStart);
  const GroupCount one{2, 1};
  CHECK(MakeInput(view).group_counts.at(kModel) == one);
  CHECK(MakeInput(view).serving_groups == std::set<std::string>{"g1"});
}

}  // namespace
}  // namespace kumquatcart
