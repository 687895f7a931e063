// Guards against orders to evacuate a failure domain that get lost, or end, by
// anything but the operator's records.
#include "control/evacuations.h"

#include <string>

#include <catch2/catch.hpp>

#include "control/fleet_view.h"

namespace kumquatcart {
namespace {

const MonotonicTime kStart{std::chrono::seconds(100)};

TEST_CASE("An order to evacuate holds until it is lifted") {
  Evacuations evacuations;
  CHECK(evacuations.Order("a", kStart));
  CHECK_FALSE(evacuations.Order("a", kStart + std::chrono::seconds(1)));
  CHECK(evacuations.Orders().at("a") == kStart);
  CHECK(evacuations.IsEvacuated("a"));
  CHECK_FALSE(evacuations.IsEvacuated("b"));
  CHECK(evacuations.Lift("a", kStart));
  CHECK_FALSE(evacuations.Lift("a", kStart));
  CHECK_FALSE(evacuations.IsEvacuated("a"));
}

TEST_CASE("An order that flickers ends in its last state") {
  Evacuations evacuations;
  for (int i = 0; i < 5; ++i) {
    evacuations.Order("a", kStart);
    evacuations.Lift("a", kStart);
  }
  CHECK_FALSE(evacuations.IsEvacuated("a"));
  evacuations.Order("a", kStart);
  CHECK(evacuations.IsEvacuated("a"));
}

TEST_CASE("Orders that name no failure domain are ignored") {
  Evacuations evacuations;
  CHECK_FALSE(evacuations.Order("", kStart));
  CHECK_FALSE(evacuations.Order("a b", kStart));
  CHECK_FALSE(evacuations.Order(std::string(300, 'a'), kStart));
  CHECK(evacuations.Orders().empty());
  for (std::size_t i = 0; i < Evacuations::kMaxOrders; ++i) {
    CHECK(evacuations.Order("d" + std::to_string(i), kStart));
  }
  CHECK_FALSE(evacuations.Order("one-more", kStart));
  CHECK(evacuations.IsEvacuated("d0"));
}

// Guards against callers of the cached lists of groups, who follow the change
// count.
TEST_CASE("Groups of an evacuated failure domain do not serve") {
  FleetView view;
  BackendServer server;
  server.id = "s";
  server.failure_domain = "a";
  server.membership = GroupMembership{"g", 1, 0, MembershipState::kOpen};
  view.PutServer(server, kStart);
  GroupRecord record;
  record.group = "g";
  record.epoch = 1;
  record.members = {"s"};
  view.PutRecord(record);
  const GroupStatus& status = *view.FindGroup("g");
  REQUIRE(view.Serves(status));
  const std::uint64_t before = view.ChangeCount();
  CHECK(view.SetEvacuated("a", true, kStart));
  CHECK(view.ChangeCount() != before);
  CHECK_FALSE(view.Serves(status));
  // Requests in progress end there, and the group stays whole.
  CHECK(view.CanFinishRequests("g", 1));
  CHECK(view.IsUsable("s"));
  CHECK(view.SetEvacuated("a", false, kStart));
  CHECK(view.Serves(status));
}

}  // namespace
}  // namespace kumquatcart
