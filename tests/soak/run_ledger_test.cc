// What the soak takes for a broken promise.
#include "soak/run_ledger.h"

#include <catch2/catch.hpp>

namespace kumquatcart::soak {
namespace {

TEST_CASE("A request that ran once and was served breaks nothing") {
  RunLedger ledger;
  ledger.NoteSent("a", RequestKind::kAtMostOnce);
  ledger.NoteRun("a", "s1");
  ledger.NoteEnd("a", RequestEnd::kServed);
  ledger.NoteSent("b", RequestKind::kStream);
  ledger.NoteRun("b", "s1");
  ledger.NoteRun("b", "s2");
  ledger.NoteEnd("b", RequestEnd::kFailed);
  CHECK(ledger.Judge().empty());
  CHECK(ledger.Count(RequestEnd::kServed) == 1);
}

TEST_CASE("Two runs of one that may run once are found") {
  RunLedger ledger;
  ledger.NoteSent("a", RequestKind::kAtMostOnce);
  ledger.NoteRun("a", "s1");
  ledger.NoteRun("a", "s2");
  CHECK(ledger.Judge().size() == 1);
}

TEST_CASE("More runs than attempts are found") {
  RunLedger ledger;
  ledger.NoteSent("a", RequestKind::kIdempotent);
  for (const char* server : {"s1", "s2", "s3"}) {
    ledger.NoteRun("a", server);
  }
  CHECK(ledger.Judge().size() == 1);
}

TEST_CASE("A refusal of what ran is found, also when it runs later") {
  RunLedger ledger;
  ledger.NoteSent("a", RequestKind::kAtMostOnce);
  ledger.NoteEnd("a", RequestEnd::kRefused);
  CHECK(ledger.Judge().empty());
  ledger.NoteRun("a", "s1");
  CHECK(ledger.Judge().size() == 1);
}

TEST_CASE("Runs that nobody asked for, and answers without a run, are found") {
  RunLedger ledger;
  ledger.NoteRun("a", "s1");
  ledger.NoteSent("b", RequestKind::kIdempotent);
  ledger.NoteEnd("b", RequestEnd::kServed);
  CHECK(ledger.Judge().size() == 2);
}

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kSentAt{seconds(100)};

// A ledger whose request "a" was sent to VM "v", which started 4 s before.
RunLedger MakeLedgerWithRequest() {
  RunLedger ledger;
  ledger.NoteDisturbance("v", kSentAt - seconds(4));
  ledger.NoteSent("a", RequestKind::kIdempotent, "v");
  ledger.NoteEnd("a", RequestEnd::kFailed);
  return ledger;
}

TEST_CASE("A request that a VM has read and that gets nothing is found") {
  RunLedger ledger = MakeLedgerWithRequest();
  ledger.NoteClosed("a", kSentAt, kSentAt + milliseconds(1), false);
  REQUIRE(ledger.Judge().size() == 1);
  CHECK(ledger.Judge().front() ==
        "v closed a without an answer after 1 ms, in order");
}

TEST_CASE("A request that crosses a close and is left unread breaks nothing") {
  RunLedger ledger = MakeLedgerWithRequest();
  ledger.NoteClosed("a", kSentAt, kSentAt + milliseconds(500), true);
  CHECK(ledger.Judge().empty());
}

TEST_CASE("A request that lies unread on an open connection is found") {
  RunLedger ledger = MakeLedgerWithRequest();
  ledger.NoteClosed("a", kSentAt, kSentAt + milliseconds(501), true);
  CHECK(ledger.Judge().size() == 1);
}

TEST_CASE("A signal to the process excuses a request, before or during it") {
  for (const milliseconds at : {milliseconds(-3000), milliseconds(1)}) {
    RunLedger ledger = MakeLedgerWithRequest();
    ledger.NoteDisturbance("v", kSentAt + at);
    ledger.NoteClosed("a", kSentAt, kSentAt + milliseconds(1), false);
    CHECK(ledger.Judge().empty());
  }
}

TEST_CASE("Signals before, after and to another process excuse nothing") {
  RunLedger ledger = MakeLedgerWithRequest();
  ledger.NoteDisturbance("v", kSentAt - milliseconds(3001));
  ledger.NoteDisturbance("v", kSentAt + milliseconds(2));
  ledger.NoteDisturbance("w", kSentAt);
  ledger.NoteClosed("a", kSentAt, kSentAt + milliseconds(1), false);
  CHECK(ledger.Judge().size() == 1);
}

TEST_CASE("What parts of the soak accuse stands in the verdict") {
  RunLedger ledger;
  ledger.Accuse("n1 ended by itself");
  CHECK(ledger.Judge() == std::vector<std::string>{"n1 ended by itself"});
}

}  // namespace
}  // namespace kumquatcart::soak
