// What the soak takes for a part of a prompt that goes on ending servers.
#include "soak/prompt_ledger.h"

#include <catch2/catch.hpp>

namespace kumquatcart::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kStart{seconds(100)};
const MonotonicTime kBound = kStart + seconds(3);
// After the end of every fault.
const MonotonicTime kCalm = kStart + seconds(7);

// As many servers as given have ended by kStart.
PromptLedger MakeLedger(int ends) {
  PromptLedger ledger;
  for (int i = 0; i < ends; ++i) {
    ledger.NoteServerEnd(kStart);
  }
  return ledger;
}

void NoteArrivals(PromptLedger* ledger, int count, MonotonicTime at) {
  for (int i = 0; i < count; ++i) {
    ledger->NoteArrival("a", at);
  }
}

TEST_CASE("Four requests after the fifth end are found, three are not") {
  PromptLedger ledger = MakeLedger(5);
  NoteArrivals(&ledger, 3, kBound + milliseconds(1));
  CHECK(ledger.Judge(kCalm).empty());
  NoteArrivals(&ledger, 1, kBound + seconds(2));
  CHECK(ledger.Judge(kCalm).size() == 1);
}

TEST_CASE("Requests soon after the fifth end or after four ends are allowed") {
  PromptLedger ledger = MakeLedger(5);
  NoteArrivals(&ledger, 9, kBound);
  CHECK(ledger.Judge(kCalm).empty());
  PromptLedger four = MakeLedger(4);
  NoteArrivals(&four, 9, kBound + seconds(1));
  CHECK(four.Judge(kCalm).empty());
}

TEST_CASE("Requests through a process that was disturbed are allowed") {
  PromptLedger ledger = MakeLedger(5);
  ledger.NoteDisturbance("a", kBound);
  NoteArrivals(&ledger, 9, kBound + seconds(2));
  CHECK(ledger.Judge(kCalm).empty());
  NoteArrivals(&ledger, 4, kBound + milliseconds(3001));
  CHECK(ledger.Judge(kCalm).size() == 1);
}

TEST_CASE("Streams that share the other parts must be served") {
  for (const int ends : {1, 5}) {
    CAPTURE(ends);
    PromptLedger ledger = MakeLedger(ends);
    ledger.NoteSent(kCalm + seconds(5));
    for (int i = 0; i < 20; ++i) {
      ledger.NoteSound("a", kCalm + milliseconds(i), i < 9);
    }
    CHECK(ledger.Judge(kCalm).empty());
    ledger.NoteSound("a", kCalm + milliseconds(30), false);
    CHECK(ledger.Judge(kCalm).size() == 1);
  }
}

TEST_CASE("Streams before the bound or after the last request do not count") {
  PromptLedger ledger = MakeLedger(5);
  ledger.NoteSent(kCalm);
  for (int i = 0; i < 30; ++i) {
    ledger.NoteSound("a", kStart + seconds(5), false);
    ledger.NoteSound("a", kCalm + seconds(1), false);
  }
  CHECK(ledger.Judge(kCalm).empty());
}

}  // namespace
}  // namespace kumquatcart::soak
