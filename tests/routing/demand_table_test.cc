#include "routing/demand_table.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::seconds;

const DemandKey kKey{ObjectName("org"), ServiceName("llm")};

struct Node {
  Node(ManualClock* clock, const std::string& name)
      : table(clock, NodeId(name), seconds(30)) {}

  DemandTable table;
};

void Exchange(DemandTable* from, DemandTable* to) {
  const Result<Json> delta = from->DeltaFor(to->Digest(), 100000);
  REQUIRE(delta.has_value());
  REQUIRE(to->Merge(delta.value()).has_value());
}

TEST_CASE("Demand propagates to a third node through a second") {
  ManualClock clock;
  Node a(&clock, "a");
  Node b(&clock, "b");
  Node c(&clock, "c");
  a.table.Record(kKey, 100);
  clock.Advance(seconds(1));
  REQUIRE(a.table.Publish());
  Exchange(&a.table, &b.table);
  Exchange(&b.table, &c.table);
  REQUIRE(c.table.Read(kKey).at(NodeId("a")) == Approx(50));
  // The digests agree, so the delta is empty.
  REQUIRE(b.table.DeltaFor(c.table.Digest(), 100000).value().is_null());
}

TEST_CASE("An older entry never replaces a newer one") {
  ManualClock clock;
  Node a(&clock, "a");
  Node b(&clock, "b");
  a.table.Record(kKey, 100);
  clock.Advance(seconds(1));
  a.table.Publish();
  const Json old_delta = a.table.DeltaFor(Json::object(), 100000).value();
  clock.Advance(seconds(1));
  a.table.Publish();
  Exchange(&a.table, &b.table);
  REQUIRE_FALSE(b.table.Merge(old_delta).value());
  REQUIRE(b.table.Read(kKey).at(NodeId("a")) == Approx(25));
}

TEST_CASE("The entry of a silent node is kept for the retention time") {
  ManualClock clock;
  Node a(&clock, "a");
  Node b(&clock, "b");
  clock.Advance(seconds(1));
  a.table.Publish();
  Exchange(&a.table, &b.table);
  clock.Advance(seconds(29));
  b.table.Publish();
  REQUIRE(b.table.Read(kKey).size() == 2);
  clock.Advance(seconds(2));
  b.table.Publish();
  REQUIRE(b.table.Read(kKey).size() == 1);
}

TEST_CASE("Malformed messages change nothing") {
  ManualClock clock;
  Node a(&clock, "a");
  for (const char* const text :
       {"5", "{}", "[1]", "[{\"node\":1}]", "[{\"node\":\"x\"}]"}) {
    REQUIRE(a.table.Merge(Json::parse(text)).has_error());
  }
  REQUIRE(a.table.DeltaFor(Json::parse("[1]"), 100).has_error());
  REQUIRE(a.table.Read(kKey).size() == 1);
}

}  // namespace
}  // namespace kumquatcart
