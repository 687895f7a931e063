// Forms groups over HTTP with scripted model servers.
#include "control/group_reconciler.h"

#include "entry/group_fixture.h"

namespace kumquatcart {
namespace {

TEST_CASE(
    "A group is recorded before any order and opened when it is complete") {
  GroupFixture d;
  d.records.Start();
  d.reconciler.Start();
  d.RunUntil(std::chrono::seconds(5), [&] { return d.HasOpenOrder(); });
  REQUIRE(d.HasOpenOrder());
  const GroupStatus& group = d.view.Groups().begin()->second;
  CHECK(group.record.members.size() == 2);
  CHECK(group.record.epoch == 1);
  for (const auto& server : d.servers) {
    if (server->HasOrder("open")) {
      CHECK(server->id == group.record.members.front());
    }
    CHECK((server->orders.empty() || server->records_at_first_order >= 1));
  }
}

TEST_CASE("A group is not opened while a member is not ready") {
  GroupFixture d;
  for (const auto& server : d.servers) {
    server->becomes_ready = server->id != "b";
  }
  d.records.Start();
  d.reconciler.Start();
  d.RunUntil(std::chrono::milliseconds(1500), [&] { return d.HasOpenOrder(); });
  CHECK(!d.HasOpenOrder());
}

// Guards against a group that is formed late: each server of a dissolved group
// was ordered to leave a second time, one after the other, and the next group
// of the same name was not ordered to join until all had been.
TEST_CASE("The servers of a dissolved group are ordered to leave once") {
  GroupFixture f({"a", "b", "c", "d", "e", "f", "g"});
  f.SetGroupSize(6);
  for (const auto& server : f.servers) {
    server->publish = [&f](const FakeEngine& changed) { f.Register(changed); };
  }
  f.Start();
  f.RunUntil(std::chrono::seconds(5),
             [&] { return !f.view.Groups().empty() && f.Group().open; });
  REQUIRE(f.Group().record.members.size() == 6);
  f.SetGroupSize(3);
  for (const char* lost : {"a", "b"}) {
    f.view.SetReachable(lost, false, f.loop.Now());
  }
  f.RunUntil(std::chrono::seconds(5), [&] {
    return f.Group().open && f.Group().record.members.size() == 3;
  });
  CHECK(f.Group().record.members.size() == 3);
  CHECK(f.Group().open);
  for (const auto& server : f.servers) {
    const auto leaves =
        std::count_if(server->orders.begin(), server->orders.end(),
                      [](const Json& order) { return order["op"] == "leave"; });
    CHECK(leaves <= 1);
  }
}

TEST_CASE("Without the store no group orders are sent") {
  GroupFixture d;
  d.records.Start();
  d.RunUntil(std::chrono::seconds(5), [&] { return d.records.IsSynced(); });
  d.store.refusal = 503;
  d.reconciler.Start();
  d.RunUntil(std::chrono::milliseconds(700), [] { return false; });
  for (const auto& server : d.servers) {
    CHECK(!server->HasOrder("open"));
    CHECK((server->orders.empty() ||
           server->orders[0]["group"] == "standby." + server->id));
  }
}

}  // namespace
}  // namespace kumquatcart
