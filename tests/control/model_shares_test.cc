#include "control/model_shares.h"

#include <catch2/catch.hpp>

#include "control/planning_input.h"

namespace kumquatcart {
namespace {

const MonotonicTime kStart{std::chrono::seconds(100)};
constexpr char kService[] = "models";

ModelSpec Model(const std::string& name, int size) {
  ModelSpec model;
  model.name = name;
  model.group_size = size;
  model.work_share = 0.5;
  return model;
}

// Failure domains of one fabric domain with `servers_each` servers each.
FleetView MakeView(int domains, int servers_each) {
  FleetView view;
  RoutingConfig config;
  config.version = 1;
  ServiceSpec service;
  service.name = kService;
  service.engine.emplace();
  service.engine->models = {Model("large", 8), Model("small", 2)};
  config.services[kService] = service;
  view.AdoptConfig(std::make_shared<const RoutingConfig>(config));
  for (int domain = 0; domain < domains; ++domain) {
    for (int i = 0; i < servers_each; ++i) {
      BackendServer server;
      server.id = std::to_string(domain) + "-" + std::to_string(i);
      server.service = kService;
      server.failure_domain = "zone" + std::to_string(domain);
      server.fabric_domain = server.failure_domain + "-d0";
      view.PutServer(server, kStart);
    }
  }
  return view;
}

// Plans every domain until nothing changes, with the records of the others up
// to `rounds` plans old, as planners that run at the same time see them.
std::map<std::string, int> FormGroups(FleetView* view, int rounds) {
  const MonotonicTime now = kStart + std::chrono::seconds(10);
  std::int64_t epoch = 0;
  for (bool changed = true; changed;) {
    changed = false;
    std::vector<GroupRecord> written;
    int round = 0;
    for (const FabricDomain& domain : ListFabricDomains(*view)) {
      for (const GroupRecord& record :
           PlanDomain(
               MakePlanningInput(domain, *view, domain.failure_domain, now))
               .records) {
        written.push_back(record);
        changed = true;
      }
      if (++round % rounds == 0) {
        for (GroupRecord& record : written) {
          record.epoch = ++epoch;
          view->PutRecord(record);
        }
        written.clear();
      }
    }
    for (GroupRecord& record : written) {
      record.epoch = ++epoch;
      view->PutRecord(record);
    }
  }
  std::map<std::string, int> groups;
  for (const auto& entry : view->Groups()) {
    ++groups[entry.second.record.model];
  }
  return groups;
}

// Guards against failure domains that each give all their servers to one group
// of the large model: half of the requests ask for the small one.
TEST_CASE("Small failure domains hold the models in turn") {
  for (const int rounds : {1, 2, 5}) {
    CAPTURE(rounds);
    FleetView view = MakeView(5, 10);
    CHECK(FormGroups(&view, rounds) ==
          std::map<std::string, int>{{"large", 3}, {"small", 8}});
  }
}

// A failure domain that can hold every model needs no other one.
TEST_CASE("Large failure domains hold all models each") {
  FleetView view = MakeView(5, 18);
  FormGroups(&view, 5);
  std::map<std::string, std::map<std::string, int>> by_domain;
  for (const auto& entry : view.Groups()) {
    ++by_domain[entry.second.record.fabric_domain][entry.second.record.model];
  }
  CHECK(by_domain.size() == 5);
  for (const auto& domain : by_domain) {
    CHECK(domain.second ==
          std::map<std::string, int>{{"large", 1}, {"small", 4}});
  }
}

// Before the first request, a plan that is made from the first domains only
// would differ from those of the planners that know all.
TEST_CASE("Small failure domains wait for the servers of the others") {
  FleetView view = MakeView(5, 10);
  BackendServer late;
  late.id = "late";
  late.service = kService;
  late.failure_domain = "zone5";
  late.fabric_domain = "zone5-d0";
  view.PutServer(late, kStart + std::chrono::milliseconds(9500));
  const MonotonicTime now = kStart + std::chrono::seconds(10);
  const std::vector<FabricDomain> domains = ListFabricDomains(view);
  const auto plan = [&](MonotonicTime at) {
    return PlanDomain(MakePlanningInput(domains.front(), view,
                                        domains.front().failure_domain, at));
  };
  CHECK(plan(now).records.empty());
  CHECK(!plan(now + std::chrono::seconds(2)).records.empty());
}

TEST_CASE("Existing groups count for the shares") {
  const std::vector<ModelSpec> models{Model("large", 8), Model("small", 2)};
  const std::vector<FreeServers> domains{{"a", 1}, {"b", 9}, {"c", 8}};
  CHECK(ShareModels(models, {{"large", 8}}, domains, "a").empty());
  CHECK(ShareModels(models, {{"large", 8}}, domains, "b") ==
        ServersByModel{{"small", 8}});
  CHECK(ShareModels(models, {{"large", 8}}, domains, "c") ==
        ServersByModel{{"large", 8}});
  CHECK(ShareModels(models, {}, domains, "d").empty());
}

}  // namespace
}  // namespace kumquatcart
