// What the soak takes for a wait that was not kept.
#include "soak/backoff_ledger.h"

#include <catch2/catch.hpp>

namespace kumquatcart::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kStart{seconds(100)};

// Server "s" has told VM "a" to wait for 3 s.
BackoffLedger MakeLedger() {
  BackoffLedger ledger;
  ledger.NoteRejection("s", "a", seconds(3), kStart);
  return ledger;
}

void NoteThree(BackoffLedger* ledger,
               const std::string& entry,
               MonotonicTime from) {
  for (int i = 0; i < 3; ++i) {
    ledger->NoteRequest("s", entry, from + milliseconds(10) * i);
  }
}

TEST_CASE("Three requests within a wait are found, two are not") {
  BackoffLedger ledger = MakeLedger();
  ledger.NoteRequest("s", "a", kStart + seconds(1));
  ledger.NoteRequest("s", "a", kStart + seconds(2));
  CHECK(ledger.Judge().empty());
  ledger.NoteRequest("s", "a", kStart + milliseconds(2999));
  CHECK(ledger.Judge().size() == 1);
}

TEST_CASE("Requests just after the answer or after the wait are allowed") {
  BackoffLedger ledger = MakeLedger();
  NoteThree(&ledger, "a", kStart + milliseconds(400));
  NoteThree(&ledger, "a", kStart + seconds(3));
  CHECK(ledger.Judge().empty());
}

TEST_CASE("A wait binds only the VM that was told") {
  BackoffLedger ledger = MakeLedger();
  NoteThree(&ledger, "b", kStart + seconds(1));
  CHECK(ledger.Judge().empty());
}

TEST_CASE("A shorter wait that is named later does not end a longer one") {
  BackoffLedger ledger = MakeLedger();
  ledger.NoteRejection("s", "a", milliseconds(100), kStart + seconds(1));
  NoteThree(&ledger, "a", kStart + seconds(2));
  CHECK(ledger.Judge().size() == 1);
}

TEST_CASE("A signal to the VM or a harmed link of the server excuses") {
  BackoffLedger signalled = MakeLedger();
  NoteThree(&signalled, "a", kStart + seconds(2));
  signalled.NoteDisturbance("a", kStart + seconds(1));
  CHECK(signalled.Judge().empty());
  BackoffLedger harmed = MakeLedger();
  NoteThree(&harmed, "a", kStart + seconds(2));
  harmed.NoteLinkChange("s", kStart - seconds(1));
  CHECK(harmed.Judge().empty());
  BackoffLedger other = MakeLedger();
  NoteThree(&other, "a", kStart + seconds(2));
  other.NoteDisturbance("b", kStart + seconds(1));
  other.NoteLinkChange("t", kStart + seconds(1));
  CHECK(other.Judge().size() == 1);
}

}  // namespace
}  // namespace kumquatcart::soak
