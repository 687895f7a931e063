// The log of the own interface comes back from an older copy: its newest
// records are lost and their offsets are given out again.
#include <catch2/catch.hpp>

#include "control/config_node_fixture.h"
#include "control/placement_fixture.h"

namespace kumquatcart {
namespace {

// Guards against nodes that serve different configurations for good: a node
// that had read lost records passes over the ones that took their offsets.
TEST_CASE("Nodes agree on the configuration after the log was rolled back") {
  ManualClock clock;
  FakeLogService log(clock);
  ConfigNode older("older", &clock, &log);
  for (const char* const name : {"a", "b", "c"}) {
    AddOrganisation(&log, name);
  }
  REQUIRE(older.Poll().has_value());
  log.RestoreBefore(kConfigStream, 2);
  for (const char* const name : {"d", "e", "f"}) {
    AddOrganisation(&log, name);
  }
  ConfigNode newer("newer", &clock, &log);
  REQUIRE(older.Poll().has_value());
  REQUIRE(newer.Poll().has_value());
  REQUIRE(older.Config()->offset == newer.Config()->offset);
  CHECK(*older.Config() == *newer.Config());
}

// Guards against two nodes that order at the same time with one fencing number,
// which engines cannot tell apart: the record of the first one's claim is lost,
// and its offset is given to the claim of the second.
TEST_CASE("One node holds the lease after the log was rolled back") {
  PlacementFixture fixture;
  fixture.AddFabric("rack-1", 2, true);
  ControlNode& first = fixture.AddNode("a");
  ControlNode& second = fixture.AddNode("b");
  const auto holds = [&](const ControlNode& node) {
    return node.lease.HoldsLease(fixture.clock.Now());
  };
  fixture.Step(first);
  REQUIRE(holds(first));
  fixture.log.RestoreBefore(kLeaseStream, 1);
  fixture.Step(second);
  CHECK_FALSE((holds(first) && holds(second)));
  const MonotonicTime now = fixture.clock.Now();
  CHECK((!holds(second) || second.lease.GetOrderAuthority(now).fence >
                               first.lease.GetOrderAuthority(now).fence));
}

}  // namespace
}  // namespace kumquatcart
