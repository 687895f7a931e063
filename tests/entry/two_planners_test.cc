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

}  // namespace
}  // namespace kumquatcart
