// Groups in service whose records the store has lost.
#include <catch2/catch.hpp>

#include "control/content_rules.h"
#include "entry/group_fixture.h"

namespace kumquatcart {
namespace {

constexpr char kGroupsTopicName[] = "keyed.groups";

// A group of two servers in service, whose record is lost with the store's
// history.
struct LostRecordFixture : GroupFixture {
  LostRecordFixture() {
    this->store.era = "1";
    for (const auto& server : this->servers) {
      server->publish = [this](const FakeEngine& engine) {
        this->Register(engine);
      };
    }
    const LoopStore::Topics copy = this->store.Copy();
    this->Start();
    this->RunUntil(std::chrono::seconds(5),
                   [this] { return this->HasOpenGroupOfModel("m", 2); });
    REQUIRE(this->HasOpenGroupOfModel("m", 2));
    this->former = this->Group().record;
    // Standbys are loaded.
    this->RunUntil(std::chrono::milliseconds(500), [] { return false; });
    this->orders_before = this->CountMemberOrders();
    this->store.ComeBackFrom(copy);
    this->store.era = "2";
  }

  // Orders at the members of the group.
  std::size_t CountMemberOrders() const {
    std::size_t count = 0;
    for (const std::string& id : this->former.members) {
      count += this->Find(id)->orders.size();
    }
    return count;
  }

  GroupRecord former;
  std::size_t orders_before = 0;
};

// Guards against streams that are cut, and groups that are formed twice,
// because the store no longer has the record of a group that serves.
TEST_CASE("A lost record of a group in service is written again unchanged") {
  LostRecordFixture f;
  f.RunUntil(std::chrono::seconds(2), [&] {
    return f.store.End(kGroupsTopicName) == 1 && f.records.IsCurrent() &&
           f.records.End() == 1;
  });
  f.RunUntil(std::chrono::milliseconds(500), [] { return false; });
  REQUIRE(f.store.End(kGroupsTopicName) == 1);
  const TopicRecord* record = f.records.Find(f.former.group);
  REQUIRE(record != nullptr);
  CHECK(
      DecodeGroupRecord(record->key, record->offset, *record->value).value() ==
      f.former);
  CHECK(f.Group().record == f.former);
  CHECK(f.Group().open);
  CHECK(f.CountMemberOrders() == f.orders_before);
  CHECK(f.records.Retained().empty());
}

// Guards against the same where no VM is left that has seen the record.
TEST_CASE("A group in service without a record is adopted from its servers") {
  LostRecordFixture f;
  const std::shared_ptr<const RoutingConfig> config = f.view.Config();
  f.view = FleetView();
  f.view.AdoptConfig(config);
  f.view.MarkTrafficStarted();
  for (const auto& server : f.servers) {
    f.Register(*server);
  }
  f.RunUntil(std::chrono::seconds(2),
             [&] { return f.store.End(kGroupsTopicName) == 1; });
  f.RunUntil(std::chrono::milliseconds(500), [] { return false; });
  REQUIRE(f.view.Groups().size() == 1);
  CHECK(f.Group().record.epoch == f.former.epoch);
  CHECK(f.Group().record.members == f.former.members);
  CHECK(f.Group().record.model == f.former.model);
  for (const std::string& id : f.former.members) {
    CHECK(!f.Find(id)->HasOrder("leave"));
    CHECK(!f.Find(id)->HasOrder("close"));
  }
}

// Guards against an epoch that is given out twice: orders of the lost record
// that are carried out late would then fit the new one.
TEST_CASE("A group that is formed in a later era has a higher epoch") {
  LostRecordFixture f;
  // Its servers are gone as well.
  f.view = FleetView();
  f.SetModels({{"m", 2}});
  f.view.MarkTrafficStarted();
  for (const auto& server : f.servers) {
    server->Restart(server->id + "2");
    f.Register(*server);
  }
  f.RunUntil(std::chrono::seconds(5),
             [&] { return f.FindGroupOfModel("m") != nullptr; });
  REQUIRE(f.FindGroupOfModel("m") != nullptr);
  CHECK(f.FindGroupOfModel("m")->record.epoch > f.former.epoch);
  CHECK(f.FindGroupOfModel("m")->record.epoch >=
        EpochBefore(TopicPosition{2, 0}));
}

}  // namespace
}  // namespace kumquatcart
