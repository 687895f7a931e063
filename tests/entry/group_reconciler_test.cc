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
