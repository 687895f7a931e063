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

// Guards against two nodes that order for good: the first one goes on renewing
// a lease of which the log has no record.
TEST_CASE("A node gives up a lease that the log lost when it reads the log") {
  const bool has_services = GENERATE(false, true);
  PlacementFixture fixture;
  fixture.AddFabric("rack-1", 4, true);
  if (has_services) {
    AddService(&fixture.config, "truelle-llm", 1, 2);
  }
  ControlNode& first = fixture.AddNode("a");
  ControlNode& second = fixture.AddNode("b");
  fixture.Run(first, 8);
  const FencingNumber lost =
      first.lease.GetOrderAuthority(fixture.clock.Now()).fence;
  REQUIRE(lost > 0);
  fixture.log.RestoreBefore(kLeaseStream, 1);
  fixture.Step(second);
  for (int round = 0; round < 80; ++round) {
    fixture.Step(first);
    fixture.Step(second);
    const MonotonicTime now = fixture.clock.Now();
    CHECK_FALSE(first.lease.HoldsLease(now));
    CHECK(second.lease.HoldsLease(now));
    fixture.clock.Advance(std::chrono::milliseconds(250));
  }
  // Engines tell the orders of the two apart, and take those of the second.
  const MonotonicTime now = fixture.clock.Now();
  CHECK((!has_services || second.lease.GetOrderAuthority(now).fence > lost));
}

// Guards against a node that claims while a holder whose claim was lost still
// holds, although it has read that claim, and against a fence that is given out
// again, with which engines refuse all orders or take late ones.
TEST_CASE("A lost lease is waited for and its fence is not given out again") {
  const bool former_holder_lives = GENERATE(false, true);
  PlacementFixture fixture;
  ControlNode& first = fixture.AddNode("a");
  ControlNode& second = fixture.AddNode("b");
  fixture.Step(first);
  fixture.Step(second);
  const FencingNumber lost =
      first.lease.GetOrderAuthority(fixture.clock.Now()).fence;
  fixture.log.RestoreBefore(kLeaseStream, 1);
  const MonotonicTime restored_at = fixture.clock.Now();
  // The former holder claims again at its next renewal.
  const ControlNode& next = former_holder_lives ? first : second;
  bool holds = false;
  while (!holds) {
    fixture.Step(second);
    if (former_holder_lives) {
      fixture.Step(first);
    }
    const MonotonicTime now = fixture.clock.Now();
    REQUIRE(now < restored_at + std::chrono::seconds(10));
    CHECK_FALSE((first.lease.HoldsLease(now) && second.lease.HoldsLease(now)));
    holds = next.lease.HoldsLease(now);
    fixture.clock.Advance(std::chrono::milliseconds(250));
  }
  const Duration waited = fixture.clock.Now() - restored_at;
  const Duration duration = LeaseSettings().duration;
  CHECK((former_holder_lives ? waited < duration : waited > duration));
  CHECK(next.lease.GetOrderAuthority(fixture.clock.Now()).fence > lost);
}

}  // namespace
}  // namespace kumquatcart
