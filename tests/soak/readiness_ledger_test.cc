// What the soak takes for a member that was never ready.
#include "soak/readiness_ledger.h"

#include <catch2/catch.hpp>

namespace kumquatcart::soak {
namespace {

TEST_CASE("A formation is whole once each of its members was ready in it") {
  const GroupFormation formation{"g", 3, {"a", "b"}};
  ReadinessLedger ledger;
  CHECK(ledger.NeverReady(formation) == formation.members);
  ledger.NoteReady(formation, "a");
  CHECK(ledger.NeverReady(formation) == std::vector<std::string>{"b"});
  ledger.NoteReady(formation, "b");
  CHECK(ledger.NeverReady(formation).empty());
}

// Guards against a readiness that is taken for that of another formation.
TEST_CASE("Readiness counts for its name, epoch and list of members only") {
  ReadinessLedger ledger;
  for (const char* member : {"a", "b"}) {
    ledger.NoteReady({"g", 3, {"a", "b"}}, member);
  }
  CHECK(ledger.NeverReady({"h", 3, {"a", "b"}}).size() == 2);
  CHECK(ledger.NeverReady({"g", 4, {"a", "b"}}).size() == 2);
  CHECK(ledger.NeverReady({"g", 3, {"b", "a"}}).size() == 2);
  CHECK(ledger.NeverReady({"g", 3, {"a", "b", "c"}}).size() == 3);
}

// Guards against an epoch that is given out again after the store has lost the
// record of the first group.
TEST_CASE("Another group that opens with an epoch is found") {
  const GroupFormation formation{"g", 3, {"a", "b"}};
  ReadinessLedger ledger;
  CHECK_FALSE(ledger.NoteOpen(formation));
  CHECK_FALSE(ledger.NoteOpen(formation));
  CHECK_FALSE(ledger.NoteOpen({"h", 4, {"c", "d"}}));
  for (const GroupFormation& other : {GroupFormation{"h", 3, {"c", "d"}},
                                      GroupFormation{"g", 3, {"a", "c"}}}) {
    const auto found = ledger.NoteOpen(other);
    REQUIRE(found);
    CHECK(found->Tie() == formation.Tie());
  }
}

}  // namespace
}  // namespace kumquatcart::soak
