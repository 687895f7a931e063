// What the soak takes for too many repeats, and for too much time handed on.
#include "soak/retry_ledger.h"

#include <string>

#include <catch2/catch.hpp>

namespace kumquatcart::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kStart{seconds(100)};
constexpr Duration kPatience = seconds(3);
constexpr RetryRules kRules{0.5, 2, seconds(10)};

// Sends `count` requests at `at`, each of which arrives twice.
void SendTwice(RetryLedger* ledger, int count, MonotonicTime at) {
  for (int i = 0; i < count; ++i) {
    const std::string id =
        std::to_string(at.time_since_epoch().count()) + "-" + std::to_string(i);
    ledger->NoteSent("s", id, kPatience, at);
    ledger->NoteArrival("s", id, kPatience, at);
    ledger->NoteArrival("s", id, kPatience, at);
  }
}

TEST_CASE("Repeats beyond the window's requests and the base are found") {
  RetryLedger ledger(kRules);
  SendTwice(&ledger, 4, kStart);  // Allowed: half of 4, and 2.
  CHECK(ledger.Judge().empty());
  CHECK((ledger.Fullest() == FullestWindow{4, 4}));
  SendTwice(&ledger, 1, kStart + milliseconds(9999));
  CHECK(ledger.Judge().size() == 1);
  CHECK((ledger.Fullest() == FullestWindow{5, 4}));
}

TEST_CASE("The window before counts where it has more requests") {
  RetryLedger ledger(kRules);
  for (int i = 0; i < 8; ++i) {
    ledger.NoteSent("s", "q" + std::to_string(i), kPatience,
                    kStart - milliseconds(9999));
  }
  SendTwice(&ledger, 6, kStart);
  CHECK(ledger.Judge().empty());
  SendTwice(&ledger, 1, kStart);
  CHECK(ledger.Judge().size() == 1);
}

TEST_CASE("Services are judged apart") {
  RetryLedger ledger(kRules);
  SendTwice(&ledger, 4, kStart);
  ledger.NoteSent("t", "t1", kPatience, kStart);
  ledger.NoteArrival("t", "t1", kPatience, kStart);
  ledger.NoteArrival("t", "t1", kPatience, kStart);
  CHECK(ledger.Judge().empty());
}

// Arrivals that are given too long, 21 of them.
void CheckTooLong(Duration first_left, Duration later_by, Duration later_left) {
  RetryLedger ledger({1000, 1000, seconds(10)});
  for (int i = 0; i <= 20; ++i) {
    CHECK(ledger.Judge().empty());
    const std::string id = std::to_string(i);
    ledger.NoteSent("s", id, kPatience, kStart);
    ledger.NoteArrival("s", id, first_left, kStart);
    if (later_by > Duration{0}) {
      ledger.NoteArrival("s", id, later_left, kStart + later_by);
    }
  }
  CHECK(ledger.GivenTooLong() == 21);
  CHECK(ledger.Judge().size() == 1);
}

TEST_CASE("Requests for which servers are given too much time are found") {
  CheckTooLong(milliseconds(-1), {}, {});
  CheckTooLong(kPatience + milliseconds(501), {}, {});
  CheckTooLong(kPatience, milliseconds(501), kPatience);
}

TEST_CASE("Time within the tolerance and early repeats are allowed") {
  RetryLedger ledger({1000, 1000, seconds(10)});
  for (int i = 0; i < 50; ++i) {
    const std::string id = std::to_string(i);
    ledger.NoteSent("s", id, kPatience, kStart);
    ledger.NoteArrival("s", id, kPatience + milliseconds(500), kStart);
    ledger.NoteArrival("s", id, kPatience, kStart + milliseconds(499));
    ledger.NoteArrival("s", id, milliseconds(1000), kStart + seconds(2));
  }
  CHECK(ledger.GivenTooLong() == 0);
  CHECK(ledger.Judge().empty());
}

}  // namespace
}  // namespace kumquatcart::soak
