// A member of a group is one start of one server. Another server at its
// address, or another start under its id, is not that member.
#include <catch2/catch.hpp>

#include "entry/group_fixture.h"

namespace kumquatcart {
namespace {

// A crashed server has been replaced at its address under another id, and its
// own entry has not lapsed yet. The new server answers the reports that are
// meant for the crashed one.
struct ReusedAddressFixture : GroupFixture {
  explicit ReusedAddressFixture(bool states_start = true)
      : GroupFixture({"b", "y", "z"}) {
    this->Holder().states_start = states_start;
    this->Lapse("b");
    this->Register(this->Holder());
    this->Holder().Restart("a");
    this->Register(this->Holder());
  }

  // The server at the address that both entries name.
  FakeEngine& Holder() { return *this->servers.front(); }
};

// Guards against opening a group one of whose members never joined: its report
// came from another member, which has its address.
TEST_CASE(
    "A group is not opened on the report of another server at a member's "
    "address") {
  ReusedAddressFixture f;
  f.Start();
  f.RunUntil(std::chrono::seconds(5), [&] {
    return f.HasOpenGroupOf({"a", "y"});
  });
  CHECK(f.ledger.opened_incomplete.empty());
  CHECK(f.HasOpenGroupOf({"a", "y"}));
}

// The same where servers do not state their start: the rank tells members
// apart.
TEST_CASE("A group is not opened on the report of a member with another rank") {
  ReusedAddressFixture f(/*states_start=*/false);
  f.Start();
  f.RunUntil(std::chrono::seconds(5), [&] {
    return f.HasOpenGroupOf({"a", "y"});
  });
  CHECK(f.ledger.opened_incomplete.empty());
  CHECK(f.HasOpenGroupOf({"a", "y"}));
}

// Guards against a group that keeps serving on paper after a member has started
// again: the new start knows nothing of the group, and its head stands still.
TEST_CASE("A group whose member has started again is formed anew") {
  GroupFixture f;
  f.Start();
  f.RunUntil(std::chrono::seconds(5), [&] {
    return f.HasOpenGroupOf({"a", "b"});
  });
  REQUIRE(f.HasOpenGroupOf({"a", "b"}));
  const std::int64_t epoch = f.Group().record.epoch;
  f.servers[1]->Restart("b");
  f.Register(*f.servers[1]);
  CHECK(!f.view.Serves(f.Group()));
  f.RunUntil(std::chrono::seconds(5),
             [&] { return f.Group().record.epoch > epoch && f.Group().open; });
  CHECK(f.Group().record.epoch > epoch);
  CHECK(f.view.Serves(f.Group()));
  CHECK(f.ledger.opened_incomplete.empty());
}

// Guards against a dead server that counts as alive because another server
// answers the probes at its address.
TEST_CASE(
    "A member without an entry is gone when another server has its "
    "address") {
  GroupFixture f;
  f.Start();
  f.RunUntil(std::chrono::seconds(5), [&] {
    return f.HasOpenGroupOf({"a", "b"});
  });
  REQUIRE(f.HasOpenGroupOf({"a", "b"}));
  f.servers[1]->Restart("y");
  f.Lapse("b");
  CHECK(f.view.AvailabilityOf("b") == ServerAvailability::kLeaving);
  f.RunUntil(std::chrono::seconds(5), [&] {
    return f.HasOpenGroupOf({"a", "c"});
  });
  CHECK(f.view.FindServer("b") == nullptr);
  CHECK(f.HasOpenGroupOf({"a", "c"}));
  CHECK(f.ledger.opened_incomplete.empty());
}

}  // namespace
}  // namespace kumquatcart
