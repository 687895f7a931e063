// Which requests the soak takes for those that servers got after they had
// reported that they leave.
#include "soak/drain_ledger.h"

#include <catch2/catch.hpp>

namespace kumquatcart::soak {
namespace {

using std::chrono::seconds;

const MonotonicTime kStart{seconds(100)};

// A server "s" whose report the store has had since kStart.
DrainLedger MakeLedger() {
  DrainLedger ledger;
  ledger.NoteReport("s", kStart);
  return ledger;
}

std::size_t Accusations(DrainLedger ledger) {
  ledger.NoteRequest("s", "e", "q1", kStart + seconds(9));
  return ledger.Judge().size();
}

TEST_CASE("A process that was in touch since the report has it") {
  DrainLedger ledger = MakeLedger();
  CHECK(Accusations(ledger) == 0);
  ledger.NoteInTouch("e", kStart - seconds(1));
  ledger.NoteInTouch("other", kStart);
  CHECK(Accusations(ledger) == 0);
  ledger.NoteInTouch("e", kStart);
  CHECK(Accusations(ledger) == 1);
}

// Guards against a process that goes back to the entry of an older copy.
TEST_CASE("A loss in the store takes no report from a process that has it") {
  DrainLedger ledger = MakeLedger();
  ledger.NoteInTouch("e", kStart);
  ledger.NoteLoss("s");
  CHECK(Accusations(ledger) == 1);
  ledger.NoteStart("e");
  CHECK(Accusations(ledger) == 0);
}

TEST_CASE("A report that was lost counts from when it is written again") {
  DrainLedger ledger = MakeLedger();
  ledger.NoteLoss("s");
  ledger.NoteInTouch("e", kStart + seconds(1));
  CHECK(Accusations(ledger) == 0);
  ledger.NoteReport("s", kStart + seconds(2));
  ledger.NoteInTouch("e", kStart + seconds(1));
  CHECK(Accusations(ledger) == 0);
  ledger.NoteInTouch("e", kStart + seconds(2));
  CHECK(Accusations(ledger) == 1);
}

TEST_CASE("A report that is repeated counts from the first time") {
  DrainLedger ledger = MakeLedger();
  ledger.NoteReport("s", kStart + seconds(2));
  ledger.NoteInTouch("e", kStart);
  CHECK(Accusations(ledger) == 1);
}

}  // namespace
}  // namespace kumquatcart::soak
