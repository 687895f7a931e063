// The order in which the servers of a dissolved group leave it.
#include <cstdint>
#include <string>

#include <catch2/catch.hpp>

#include "entry/group_fixture.h"

namespace kumquatcart {
namespace {

constexpr char kGroupsTopicName[] = "keyed.groups";

// Guards against a head that stands still while a member that has left its
// group joins another one: the member was ordered to leave before the head had
// closed.
TEST_CASE("A member leaves its group once the head has closed") {
  GroupFixture f;
  for (const auto& server : f.servers) {
    server->publish = [&f](const FakeEngine& changed) { f.Register(changed); };
  }
  // The record of the open group of b and a has been replaced.
  const std::int64_t epoch = EpochBefore({0, 0}) + 1;
  for (const char* id : {"b", "a"}) {
    f.Find(id)->Take({{"op", "join"},
                      {"group", "other"},
                      {"epoch", epoch},
                      {"model", "m"},
                      {"members", {"b", "a"}}});
  }
  f.Find("b")->Take({{"op", "open"}, {"group", "other"}, {"epoch", epoch}});
  GroupRecord dissolved;
  dissolved.group = "other";
  dissolved.epoch = EpochBefore({0, 1}) - 1;
  dissolved.service = "models";
  dissolved.model = "m";
  dissolved.fabric_domain = "d";
  f.store.Put(kGroupsTopicName, "other", EncodeGroupRecord(dissolved));
  bool has_left = false;
  f.Find("a")->publish = [&](const FakeEngine& changed) {
    f.Register(changed);
    if (!changed.Entry().membership && !has_left) {
      has_left = true;
      CHECK(f.ledger.open_heads.count("b") == 0);
    }
  };
  f.Start();
  f.RunUntil(std::chrono::seconds(8),
             [&] { return has_left && f.HasOpenGroupOfModel("m", 2); });
  CHECK(has_left);
  CHECK(f.HasOpenGroupOfModel("m", 2));
}

}  // namespace
}  // namespace kumquatcart
