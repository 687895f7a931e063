#include "control/lease_manager.h"

#include <map>
#include <set>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "control/lease_constants.h"
#include "control/placement_fixture.h"
#include "fakes/captured_log.h"
#include "fakes/counting_log.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two nodes that control one rack with a service in groups of two VMs.
struct TwoNodes : PlacementFixture {
  explicit TwoNodes(bool fenced = true) : a(AddNode("a")), b(AddNode("b")) {
    this->AddFabric("rack-1", 5, fenced);
    AddService(&this->config, "truelle-llm", 2, 2);
  }

  // Runs rounds of `node` only; the other node is idle.
  void RunOnly(ControlNode& node, int rounds) { this->Run(node, rounds); }

  EngineScope RightOf(const ControlNode& node) const {
    return node.lease.GetOrderAuthority(this->clock.Now()).right;
  }

  ControlNode& a;
  ControlNode& b;
};

// Describes the first violation among the orders that engines accepted and the
// groups that serve; empty when there is none. Independent of the lease code.
std::string FindViolation(PlacementFixture& fixture, bool fenced) {
  // A restarted engine loses the highest fencing number it accepted.
  std::map<std::pair<VmId, int>, FencingNumber> highest;
  for (const TakenOrder& order : fixture.fleet.AcceptedOrders()) {
    FencingNumber& seen = highest[{order.vm, order.restarts}];
    if (fenced && order.fence < seen) {
      return "an older holder's order took effect on " + order.vm.value;
    }
    seen = std::max(seen, order.fence);
  }
  std::set<VmId> used;
  for (const ReplicaGroup& group : fixture.WholeGroups()) {
    std::set<FabricDomainId> fabrics;
    for (const VmId& vm : group.claim.members) {
      if (!used.insert(vm).second) {
        return vm.value + " serves in two groups";
      }
      fabrics.insert(fixture.vms.vms.at(vm).fabric_domain);
    }
    if (group.claim.members.size() != 2 || fabrics.size() != 1) {
      return group.claim.group.value + " serves in part or across fabrics";
    }
  }
  return "";
}

TEST_CASE("one of two racing claimants holds the lease") {
  TwoNodes nodes;
  for (int round = 0; round < 40; ++round) {
    nodes.Step(nodes.a);
    nodes.Step(nodes.b);
    const bool both = nodes.RightOf(nodes.a) == EngineScope::kAllEngines &&
                      nodes.RightOf(nodes.b) == EngineScope::kAllEngines;
    REQUIRE_FALSE(both);
    nodes.clock.Advance(milliseconds(250));
  }
  REQUIRE(nodes.RightOf(nodes.a) == EngineScope::kAllEngines);
}

TEST_CASE("a lost append response is resolved by reading the log") {
  TwoNodes nodes;
  nodes.log.LoseAnswers(1);
  nodes.Step(nodes.a);
  REQUIRE(nodes.RightOf(nodes.a) == EngineScope::kAllEngines);

  TwoNodes others;
  others.log.LoseRequests(1);
  others.Step(others.a);
  REQUIRE(others.RightOf(others.a) == EngineScope::kNone);
  others.Run(others.a, 5);
  REQUIRE(others.RightOf(others.a) == EngineScope::kAllEngines);
}

TEST_CASE("the holder's lease expires before another claim can take effect") {
  TwoNodes nodes;
  nodes.Step(nodes.a);
  nodes.Step(nodes.b);
  nodes.a.log.is_interrupted = true;
  while (nodes.RightOf(nodes.b) != EngineScope::kAllEngines) {
    nodes.Step(nodes.a);
    nodes.Step(nodes.b);
    const bool both = nodes.RightOf(nodes.a) == EngineScope::kAllEngines &&
                      nodes.RightOf(nodes.b) == EngineScope::kAllEngines;
    REQUIRE_FALSE(both);
    nodes.clock.Advance(milliseconds(50));
  }
}

TEST_CASE(
    "time spent waiting for the append response counts towards the lease") {
  TwoNodes nodes;
  nodes.a.log.after_append = [&] { nodes.clock.Jump(seconds(5)); };
  nodes.Step(nodes.a);
  nodes.a.log.after_append = nullptr;
  // Another node's claim may take effect from now on.
  REQUIRE(nodes.RightOf(nodes.a) == EngineScope::kNone);
}

TEST_CASE("a stopped holder releases the lease for an immediate claim") {
  TwoNodes nodes;
  nodes.Step(nodes.a);
  nodes.Step(nodes.b);
  nodes.a.lease.Stop();
  nodes.clock.Advance(milliseconds(1000));
  nodes.Step(nodes.b);
  REQUIRE(nodes.RightOf(nodes.b) == EngineScope::kAllEngines);
}

TEST_CASE(
    "a holder paused while sending orders changes nothing on fenced engines") {
  TwoNodes nodes;
  nodes.Run(nodes.a, 8);
  const VmId lost = nodes.WholeGroups().front().claim.members[0];
  nodes.fleet.SetSilent(lost, true);
  nodes.fleet.DelayOrders();
  nodes.Run(nodes.a, 10);  // The swap's claims are sent by `a` and delayed.
  REQUIRE(nodes.fleet.DelayedCount() > 0);
  nodes.fleet.StopDelaying();
  nodes.Run(nodes.b, 40);
  const FencingNumber fence =
      nodes.b.lease.GetOrderAuthority(nodes.clock.Now()).fence;
  REQUIRE(nodes.WholeGroups().size() == 2);
  const std::size_t taken = nodes.fleet.AcceptedOrders().size();
  nodes.fleet.DeliverDelayed();
  nodes.Refresh(nodes.a);
  nodes.a.groups.RunOnce();  // Runs before `a` reads the log again.
  const std::vector<TakenOrder> orders = nodes.fleet.AcceptedOrders();
  for (std::size_t i = taken; i < orders.size(); ++i) {
    REQUIRE(orders[i].fence >= fence);
  }
  REQUIRE(nodes.WholeGroups().size() == 2);
  REQUIRE(FindViolation(nodes, true).empty());
}

TEST_CASE(
    "unfenced engines get no orders until older ones can no longer arrive") {
  TwoNodes nodes(/*fenced=*/false);
  nodes.Run(nodes.a, 24);
  REQUIRE(nodes.WholeGroups().size() == 2);
  nodes.Step(nodes.b);
  const VmId lost = nodes.WholeGroups().front().claim.members[0];
  nodes.fleet.SetSilent(lost, true);
  const std::size_t before = nodes.fleet.AcceptedOrders().size();
  while (nodes.RightOf(nodes.b) != EngineScope::kAllEngines) {
    nodes.Step(nodes.b);
    nodes.clock.Advance(milliseconds(250));
  }
  const MonotonicTime acquired =
      nodes.b.lease.GetOrderAuthority(nodes.clock.Now()).acquired_at;
  while (nodes.fleet.AcceptedOrders().size() == before) {
    nodes.Step(nodes.b);
    nodes.clock.Advance(milliseconds(250));
  }
  REQUIRE(nodes.clock.Now() - milliseconds(250) >= acquired + kMaxOrderDelay);
  nodes.Run(nodes.b, 4);
  REQUIRE(nodes.WholeGroups().size() == 2);
}

TEST_CASE(
    "an order that reaches unfenced engines late is detected and undone") {
  TwoNodes nodes(/*fenced=*/false);
  nodes.Run(nodes.a, 16);
  nodes.fleet.DelayOrders();
  nodes.Run(nodes.a, 2);  // Claims of `a`, delayed beyond kMaxOrderDelay.
  nodes.clock.Jump(seconds(6));
  nodes.Run(nodes.b, 2);
  nodes.fleet.DeliverDelayed();
  for (int round = 0; round < 40; ++round) {
    nodes.Run(nodes.b, 1);
    REQUIRE(FindViolation(nodes, false).empty());
  }
  REQUIRE(nodes.WholeGroups().size() == 2);
}

TEST_CASE("repair goes on without the log where engines are fenced") {
  const bool fenced = GENERATE(true, false);
  TwoNodes nodes(fenced);
  nodes.Run(nodes.a, 30);
  REQUIRE(nodes.WholeGroups().size() == 2);
  nodes.log.SetDown(true);
  nodes.Run(nodes.a, 24);
  REQUIRE(nodes.RightOf(nodes.a) == EngineScope::kFencedEnginesOnly);
  const VmId lost = nodes.WholeGroups().front().claim.members[0];
  nodes.fleet.SetSilent(lost, true);
  // A rollout is deferred until the log is reachable.
  nodes.config.model_services[ObjectName("truelle-llm")]
      .body.first_token_target_ms = 1;
  nodes.Run(nodes.a, 16);
  nodes.Step(nodes.a);
  REQUIRE(nodes.WholeGroups().size() == (fenced ? 2U : 1U));
  nodes.log.SetDown(false);
  nodes.Run(nodes.a, 30);
  REQUIRE(nodes.RightOf(nodes.a) == EngineScope::kAllEngines);
  REQUIRE(nodes.WholeGroups().size() == 2);
}

TEST_CASE("no rollout starts while the log is unreachable") {
  TwoNodes nodes;
  nodes.Run(nodes.a, 8);
  nodes.log.SetDown(true);
  nodes.Run(nodes.a, 24);
  nodes.config.model_services[ObjectName("truelle-llm")].body.version = "v2";
  const std::size_t before = nodes.fleet.AcceptedOrders().size();
  nodes.Run(nodes.a, 24);
  REQUIRE(nodes.fleet.AcceptedOrders().size() == before);
}

// Guards against a round that never ends, so that the lease lapses and Stop
// hangs: the log answers every read of records as past retention, or with whole
// batches of records from before the offset asked for.
TEST_CASE("a round ends although the log brings no further records") {
  const bool is_expired = GENERATE(true, false);
  ManualClock clock;
  FakeLogService log(clock);
  CountingLog counted(&log);
  counted.answer_read = [&](const StreamName&,
                            Offset from) -> std::optional<Result<LogBatch>> {
    if (counted.reads > 500) {
      return std::nullopt;  // Ends a round that goes on.
    }
    if (from > 1'000'000) {
      return LogBatch{500, is_expired ? 499 : 600, {}};
    }
    if (is_expired) {
      return MakeError(ErrorCode::kExpired, "first retained offset is 501");
    }
    return LogBatch{1, 600, std::vector<LogRecord>(kLeaseReadBatch)};
  };
  MetricRegistry metrics;
  WorkerPool pool(1);
  Board board(MakeIdentity("a"));
  LeaseManager lease(&clock, &pool, &board, &counted, &metrics,
                     LeaseSettings());
  const CapturedLog lines;
  lease.RunOnce();
  CHECK(counted.reads <= 10);
  constexpr int kRounds = 20;
  for (int round = 1; round < kRounds; ++round) {
    clock.Advance(LeaseSettings().poll_interval);
    lease.RunOnce();
  }
  CHECK(counted.reads <= kRounds * 10);
  CHECK(lines.CountLines("lease_read_failed") <= 2);
  CHECK(lines.CountLines("lease_record_malformed") <= 2);
}

// Performs one random step of a node, its environment or the clock.
void TakeRandomStep(TwoNodes* nodes, bool fenced) {
  ControlNode& node = *rc::gen::arbitrary<bool>() ? nodes->a : nodes->b;
  const VmId vm("rack-1-" + std::to_string(*rc::gen::inRange(0, 5)));
  switch (*rc::gen::inRange(0, 14)) {
    case 0:
      node.log.is_interrupted = !node.log.is_interrupted;
      break;
    case 1:
      nodes->log.LoseAnswers(1);
      break;
    case 2:
      nodes->log.LoseRequests(1);
      break;
    case 3:
      nodes->clock.Jump(seconds(*rc::gen::inRange(1, 8)));
      break;
    case 4:
      if (fenced) {
        nodes->fleet.DelayOrders();
      }
      break;
    case 5:
      nodes->fleet.DeliverDelayed();
      break;
    case 6:
      nodes->fleet.SetSilent(vm, true);
      break;
    case 7:
      nodes->fleet.SetSilent(vm, false);
      break;
    case 8:
      nodes->fleet.Restart(vm);
      break;
    case 9:
      nodes->clock.Advance(milliseconds(500));
      break;
    case 10:
      nodes->fleet.FinishLoads();
      break;
    default:
      nodes->Step(node);
      nodes->clock.Advance(milliseconds(100));
      break;
  }
}

TEST_CASE("no random interleaving lets an older holder act after a newer one") {
  const bool fenced = GENERATE(true, false);
  rc::prop("one holder, fences never decrease, groups complete and disjoint",
           [fenced] {
             TwoNodes nodes(fenced);
             const int steps = *rc::gen::inRange(20, 150);
             for (int i = 0; i < steps; ++i) {
               TakeRandomStep(&nodes, fenced);
               const bool both =
                   nodes.RightOf(nodes.a) == EngineScope::kAllEngines &&
                   nodes.RightOf(nodes.b) == EngineScope::kAllEngines;
               RC_ASSERT_FALSE(both);
               RC_ASSERT(FindViolation(nodes, fenced) == "");
             }
           });
}

}  // namespace
}  // namespace kumquatcart
