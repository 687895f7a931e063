// Processor time of one routing decision as the number of replica groups grows.
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "routing/admission_controller.h"
#include "routing/router.h"

namespace kumquatcart {
namespace {

constexpr std::uint64_t kSeed = 20261203;

NodeIdentity MakeIdentity() {
  NodeIdentity identity;
  identity.id = NodeId("node");
  identity.region = RegionId("region-0");
  identity.failure_domain = FailureDomainId("fd-0");
  return identity;
}

// Groups of one service, spread over eight failure domains.
GroupTable MakeGroups(int count) {
  GroupTable table;
  for (int index = 0; index < count; ++index) {
    ReplicaGroup group;
    group.claim.group = GroupId(fmt::format("group-{}", index));
    group.claim.epoch = 1;
    group.claim.service = ServiceName("llm");
    group.state = GroupState::kWhole;
    group.failure_domain = FailureDomainId(fmt::format("fd-{}", index % 8));
    group.load.capacity = 16;
    table.groups[group.claim.group] = group;
  }
  return table;
}

double MicrosPerCall(int calls, const std::function<void(int)>& work) {
  const auto begin = std::chrono::steady_clock::now();
  for (int call = 0; call < calls; ++call) {
    work(call);
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - begin;
  return elapsed.count() / calls;
}

void Measure(int groups, int calls) {
  ManualClock clock;
  Board board(MakeIdentity());
  board.groups.Publish(MakeGroups(groups));
  board.config.Update([](ConfigView view) {
    view.model_services[ObjectName("llm")].meta.name = ObjectName("llm");
    return view;
  });
  MetricRegistry metrics;
  DemandTable demand(&clock, board.identity.id, std::chrono::seconds(30));
  AdmissionController admission(&clock, &board, &demand, &metrics, {});
  Router router(&clock, &board, {}, kSeed);
  const double admit = MicrosPerCall(calls, [&](int call) {
    AdmissionRequest request;
    request.request = RequestId(std::to_string(call));
    request.organisation = ObjectName("org");
    request.service = ServiceName("llm");
    request.deadline = clock.Now() + std::chrono::seconds(10);
    admission.Submit(request, [](const Status&) {});
    admission.Complete(request, 1);
  });
  const double route = MicrosPerCall(calls, [&](int call) {
    clock.Advance(std::chrono::microseconds(100));
    RouteQuery query;
    query.service = ServiceName("llm");
    query.prompt = fmt::format("prompt {}", call % 1000);
    const Result<Route> chosen = router.Choose(query);
    router.Finish(chosen.value(), AttemptResult::kAnswered,
                  std::chrono::milliseconds(100));
  });
  std::cout << fmt::format("{},{:.2f},{:.2f}\n", groups, admit, route);
}

}  // namespace
}  // namespace kumquatcart

int main(int argc, char** argv) {
  CLI::App app("Processor time of routing decisions by number of groups");
  int calls = 2000;
  app.add_option("--calls", calls, "Decisions measured at each size")
      ->check(CLI::Range(1, 1000000));
  CLI11_PARSE(app, argc, argv);
  std::cout << "groups,admission_us,choice_us\n";
  for (const int groups : {65, 130, 210, 420, 840}) {
    kumquatcart::Measure(groups, calls);
  }
  return 0;
}
