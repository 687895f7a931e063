// What the soak takes for an exceeded rate limit.
#include "soak/limit_ledger.h"

#include <catch2/catch.hpp>

namespace kumquatcart::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kStart{seconds(100)};
// Requests in 4 s that a limit of 1 a second allows, with the tolerance.
constexpr int kAllowed = 11;

// Server "s" has named 1 a second for 10 s, and VM "a" knows it.
LimitLedger MakeLedger() {
  LimitLedger ledger;
  ledger.NoteLimit("s", 1, kStart);
  ledger.NoteAnswer("s", "a", kStart);
  return ledger;
}

void NoteMany(LimitLedger* ledger,
              const std::string& entry,
              int count,
              MonotonicTime from) {
  for (int i = 0; i < count; ++i) {
    ledger->NoteRequest("s", entry, from + milliseconds(100) * i);
  }
}

TEST_CASE("Requests within the tolerance of a limit break nothing") {
  LimitLedger ledger = MakeLedger();
  NoteMany(&ledger, "a", kAllowed, kStart + seconds(4));
  CHECK(ledger.Judge(kStart + seconds(10)).empty());
}

TEST_CASE("Requests beyond the tolerance of a limit are found") {
  LimitLedger ledger = MakeLedger();
  NoteMany(&ledger, "a", kAllowed + 1, kStart + seconds(4));
  CHECK(ledger.Judge(kStart + seconds(10)).size() == 1);
}

TEST_CASE("Requests of several VMs count together") {
  LimitLedger ledger = MakeLedger();
  ledger.NoteAnswer("s", "b", kStart);
  NoteMany(&ledger, "a", kAllowed / 2 + 1, kStart + seconds(4));
  NoteMany(&ledger, "b", kAllowed / 2 + 1, kStart + seconds(4));
  CHECK(ledger.Judge(kStart + seconds(10)).size() == 1);
}

TEST_CASE(
    "Requests of a VM that was not told, or was disturbed, do not count") {
  LimitLedger untold = MakeLedger();
  NoteMany(&untold, "b", 2 * kAllowed, kStart + seconds(4));
  CHECK(untold.Judge(kStart + seconds(10)).empty());
  LimitLedger disturbed = MakeLedger();
  NoteMany(&disturbed, "a", 2 * kAllowed, kStart + seconds(4));
  disturbed.NoteDisturbance("a", kStart + seconds(5));
  CHECK(disturbed.Judge(kStart + seconds(10)).empty());
}

TEST_CASE("Requests after the end of a limit do not count") {
  LimitLedger ledger = MakeLedger();
  ledger.NoteEnd("s", kStart + seconds(4));
  NoteMany(&ledger, "a", 2 * kAllowed, kStart + seconds(4));
  CHECK(ledger.Judge(kStart + seconds(10)).empty());
}

}  // namespace
}  // namespace kumquatcart::soak
