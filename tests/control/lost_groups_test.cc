#include "control/lost_groups.h"

#include <catch2/catch.hpp>

#include "control/group_record_codec.h"
#include "control/standby_name.h"

namespace kumquatcart {
namespace {

// Servers of one fabric domain and a model with groups of two.
struct Domain {
  Domain() {
    ModelSpec model;
    model.name = "m";
    model.group_size = 2;
    this->engine.models = {model};
    this->domain.service = "models";
    this->domain.name = "d";
    this->domain.engine = &this->engine;
  }

  void Add(const std::string& id,
           const std::string& group,
           std::int64_t epoch,
           int rank,
           const std::string& model = "m") {
    BackendServer server;
    server.id = id;
    server.loaded_model = model;
    server.started_ms = 10;
    server.membership =
        GroupMembership{group, epoch, rank, MembershipState::kReady};
    this->view.PutServer(server, MonotonicTime{});
  }

  LostGroups Find() {
    this->domain.servers.clear();
    for (const auto& entry : this->view.Servers()) {
      this->domain.servers.push_back(&entry.second);
    }
    return FindLostGroups(this->domain, this->view);
  }

  EngineSpec engine;
  FabricDomain domain;
  FleetView view;
};

TEST_CASE("A group is whole if each member reports its rank") {
  Domain d;
  d.Add("b", "g", 9, 1);
  CHECK(d.Find().whole.empty());
  CHECK(d.Find().partial == std::set<GroupFormation>{{"g", 9}});
  d.Add("a", "g", 9, 0);
  const LostGroups lost = d.Find();
  CHECK(lost.partial.empty());
  REQUIRE(lost.whole.size() == 1);
  GroupRecord expected;
  expected.group = "g";
  expected.epoch = 9;
  expected.service = "models";
  expected.model = "m";
  expected.fabric_domain = "d";
  expected.members = {"a", "b"};
  expected.member_starts = {10, 10};
  CHECK(lost.whole.front() == expected);
}

TEST_CASE("Members of two formations or models form no group") {
  Domain d;
  d.Add("a", "g", 9, 0);
  d.Add("b", "g", 8, 1);
  CHECK(d.Find().whole.empty());
  CHECK(d.Find().partial.size() == 2);
  d.Add("b", "g", 9, 1, "other");
  CHECK(d.Find().whole.empty());
  d.Add("b", "g", 9, 2);
  CHECK(d.Find().whole.empty());
}

TEST_CASE("Recorded groups and standbys are not lost") {
  Domain d;
  d.Add("a", "g", 9, 0);
  d.Add("b", "g", 9, 1);
  d.Add("c", StandbyGroupName("c"), 30, 0);
  GroupRecord record;
  record.group = "g";
  record.epoch = 9;
  record.members = {"a", "b"};
  d.view.PutRecord(record);
  CHECK(d.Find() == LostGroups{});
  CHECK(HighestKnownEpoch(d.view) == 30);
  // An entry of another writer.
  d.Add("e", "x", kMaxEpoch + 1, 0);
  CHECK(d.Find() == LostGroups{});
  CHECK(HighestKnownEpoch(d.view) == 30);
}

TEST_CASE("A later group with the same member is found") {
  Domain d;
  GroupRecord record;
  record.group = "g";
  record.epoch = 9;
  record.members = {"a", "b"};
  GroupRecord other = record;
  other.group = "h";
  other.epoch = 8;
  d.view.PutRecord(record);
  d.view.PutRecord(other);
  CHECK(!HasLaterGroup(record, d.view));
  CHECK(HasLaterGroup(other, d.view));
}

}  // namespace
}  // namespace kumquatcart
