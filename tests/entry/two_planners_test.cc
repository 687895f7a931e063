// Two VMs that plan one fabric domain at the same time, since each takes the
// other for silent.
#include <map>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/group_fixture.h"

namespace kumquatcart {
namespace {

constexpr char kGroupsTopicName[] = "keyed.groups";

GroupRecord MakeForeignRecord(const std::string& group,
                              const std::vector<std::string>& members,
                              std::int64_t epoch) {
  GroupRecord record;
  record.group = group;
  record.epoch = epoch;
  record.service = "models";
  record.model = "m";
  record.fabric_domain = "d";
  record.members = members;
  return record;
}

// Guards against a server that two groups list: a batch of records went on
// after a record of another planner that lists the server.
TEST_CASE("A batch of records ends at a record of another planner") {
  GroupFixture f({"a", "b", "c", "d", "e", "f", "g"});
  bool has_written = false;
  f.store.appended = [&](const std::string& topic) {
    if (topic == kGroupsTopicName && !has_written) {
      has_written = true;
      f.store.Put(topic, "other",
                  EncodeGroupRecord(MakeForeignRecord(
                      "other", {"c", "e"}, EpochBefore({0, 2}) - 1)));
    }
  };
  f.Start();
  f.RunUntil(std::chrono::seconds(5), [&] {
    return f.view.Groups().size() >= 3 && f.store.End(kGroupsTopicName) >= 3;
  });
  f.RunUntil(std::chrono::milliseconds(500), [] { return false; });
  REQUIRE(has_written);
  std::map<std::string, std::set<std::string>> listed_by;
  for (const GroupRecord& record : f.records_read) {
    for (auto& entry : listed_by) {
      entry.second.erase(record.group);
    }
    for (const std::string& member : record.members) {
      CAPTURE(record.group, record.epoch, member);
      listed_by[member].insert(record.group);
      CHECK(listed_by[member].size() == 1);
    }
  }
}

// Guards against a server that is in two groups at once: it joined another one
// because its entry, from before it was in the first, said that it was free.
TEST_CASE("A server does not join a group by an entry that it has outlived") {
  GroupFixture f;
  // The record of the group that b and c serve in was replaced since, and the
  // orders to leave have not been sent.
  const std::int64_t epoch = EpochBefore({0, 0}) + 1;
  for (const char* id : {"b", "c"}) {
    f.Find(id)->Take({{"op", "join"},
                      {"group", "other"},
                      {"epoch", epoch},
                      {"model", "m"},
                      {"members", {"b", "c"}}});
  }
  f.Find("b")->Take({{"op", "open"}, {"group", "other"}, {"epoch", epoch}});
  REQUIRE(f.ledger.open_heads.count("b") == 1);
  f.store.Put(kGroupsTopicName, "other",
              EncodeGroupRecord(
                  MakeForeignRecord("other", {}, EpochBefore({0, 1}) - 1)));
  for (const auto& server : f.servers) {
    server->publish = [&f](const FakeEngine& changed) { f.Register(changed); };
  }
  f.Start();
  f.RunUntil(std::chrono::seconds(8), [&] {
    return f.HasOpenGroupOfModel("m", 2) && f.ledger.open_heads.count("b") == 0;
  });
  f.RunUntil(std::chrono::milliseconds(500), [] { return false; });
  CHECK(f.ledger.joined_twice.empty());
  CHECK(f.HasOpenGroupOfModel("m", 2));
  CHECK(f.ledger.opened_incomplete.empty());
}

// Guards against groups that stay incomplete for good, since a server that two
// records list is a member of both.
TEST_CASE("A server that two records list is a member of the later group") {
  GroupFixture f({"a", "b", "c", "d", "e"});
  for (const auto& server : f.servers) {
    server->publish = [&f](const FakeEngine& changed) { f.Register(changed); };
  }
  f.Start();
  f.RunUntil(std::chrono::seconds(5), [&] {
    return f.HasOpenGroupOf({"a", "b"}) && f.HasOpenGroupOf({"c", "d"});
  });
  REQUIRE(f.HasOpenGroupOf({"a", "b"}));
  REQUIRE(f.HasOpenGroupOf({"c", "d"}));
  // Another planner, which has not read the records of these groups.
  const auto end = static_cast<std::int64_t>(f.store.End(kGroupsTopicName));
  f.store.Put(kGroupsTopicName, "other",
              EncodeGroupRecord(MakeForeignRecord(
                  "other", {"e", "b"}, EpochBefore({0, end + 1}) - 1)));
  f.RunUntil(std::chrono::seconds(5), [&] {
    return f.HasOpenGroupOf({"e", "b"});
  });
  CHECK(f.HasOpenGroupOf({"e", "b"}));
  CHECK(f.HasOpenGroupOf({"c", "d"}));
  CHECK(f.ledger.joined_twice.empty());
  std::map<std::string, int> listed;
  for (const auto& entry : f.view.Groups()) {
    for (const std::string& member : entry.second.record.members) {
      ++listed[member];
    }
  }
  CHECK(listed["b"] == 1);
}

}  // namespace
}  // namespace kumquatcart
