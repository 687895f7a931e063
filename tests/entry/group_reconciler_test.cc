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
  // That of the first position.
  CHECK(group.record.epoch > EpochBefore({0, 0}));
  CHECK(group.record.epoch < EpochBefore({0, 1}));
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
  f.SetModels({{"m", 6}});
  for (const auto& server : f.servers) {
    server->publish = [&f](const FakeEngine& changed) { f.Register(changed); };
  }
  f.Start();
  f.RunUntil(std::chrono::seconds(5),
             [&] { return !f.view.Groups().empty() && f.Group().open; });
  REQUIRE(f.Group().record.members.size() == 6);
  f.SetModels({{"m", 3}});
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

// Guards against a server that stays idle: the task that had ordered it to
// stage a model, and waits 40 s before it repeats that, kept the order to leave
// back.
TEST_CASE("A former standby leaves its dissolved group") {
  GroupFixture f({"a", "b", "c", "d", "e", "f", "g"});
  f.SetModels({{"m", 3}, {"n", 2}});
  for (const auto& server : f.servers) {
    server->publish = [&f](const FakeEngine& changed) { f.Register(changed); };
  }
  f.records.Start();
  f.reconciler.Start();
  const auto staged = [&f] {
    return std::count_if(
        f.servers.begin(), f.servers.end(),
        [](const auto& server) { return server->HasOrder("stage"); });
  };
  f.RunUntil(std::chrono::seconds(5), [&] {
    return staged() == 2 && f.HasOpenGroupOfModel("m", 3) &&
           f.HasOpenGroupOfModel("n", 2);
  });
  REQUIRE(staged() == 2);
  const GroupStatus* large = f.FindGroupOfModel("m");
  REQUIRE(large != nullptr);
  const std::vector<std::string> first = large->record.members;
  f.view.SetReachable(first[1], false, f.loop.Now());
  f.RunUntil(std::chrono::seconds(5),
             [&] { return large->record.members != first && large->open; });
  REQUIRE(large->record.members.size() == 3);
  const std::string standby = large->record.members.back();
  f.view.SetReachable(first[0], false, f.loop.Now());
  f.view.SetReachable(first[2], false, f.loop.Now());
  const FakeEngine* server = f.Find(standby);
  REQUIRE(server->HasOrder("stage"));
  f.RunUntil(std::chrono::seconds(5),
             [&] { return server->HasOrder("leave"); });
  CHECK(server->HasOrder("leave"));
}

// Guards against more loads from the weight store than it allows (CEILING),
// when many servers are new at once: joins of groups are not counted, only
// those of standbys.
TEST_CASE("Joins of groups load no more than the weight store allows") {
  constexpr double kLoadsPerSecond = 5.5;
  constexpr int kAllowedInFiveSeconds = 33;  // 5.5 * 5 * 1.1 + 3.
  std::vector<std::string> ids;
  for (int i = 10; i < 58; ++i) {
    ids.push_back("s" + std::to_string(i));
  }
  GroupFixture f(ids);
  f.SetModels({{"m", 3}}, kLoadsPerSecond);
  f.Start();
  f.RunUntil(std::chrono::milliseconds(2500), [] { return false; });
  // Each server's first join loads the model.
  const auto loads = std::count_if(
      f.servers.begin(), f.servers.end(),
      [](const auto& server) { return server->HasOrder("join"); });
  CHECK(loads > 0);
  CHECK(loads <= kAllowedInFiveSeconds);
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
