// Which answers the soak takes for those of too old a configuration.
#include "soak/config_ledger.h"

#include <catch2/catch.hpp>

namespace kumquatcart::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kStart{seconds(100)};
const MonotonicTime kSecond = kStart + seconds(10);
const MonotonicTime kThird = kStart + seconds(20);
const ConfigQuestion kMoved{"moved", "/moved/", "key"};
const ConfigQuestion kSplit{"split", "/split/", "key"};
const ConfigQuestion kAdded{"added", "/added/", "key"};
const ConfigQuestion kDropped{"dropped", "/dropped/", "key"};
const ConfigQuestion kNewKey{"new key", "/split/", "new"};
const ConfigQuestion kDroppedKey{"dropped key", "/split/", "old"};

// Version 2 moves, splits, adds and drops one route each and rotates the keys;
// version 3 moves the same route back.
ConfigLedger MakeLedger() {
  ConfigLedger ledger;
  ConfigVersion version{1,
                        kStart,
                        {{"/moved/", {{"a", 1}}},
                         {"/split/", {{"a", 1}}},
                         {"/dropped/", {{"a", 1}}}},
                        {"key", "old"},
                        {}};
  ledger.NoteVersion(version);
  version = {2,
             kSecond,
             {{"/moved/", {{"b", 1}}},
              {"/split/", {{"a", 3}, {"b", 1}}},
              {"/added/", {{"b", 1}}}},
             {"key", "new"},
             {}};
  ledger.NoteVersion(version);
  version.number = 3;
  version.confirmed_at = kThird;
  version.routes["/moved/"] = {{"a", 1}};
  ledger.NoteVersion(version);
  return ledger;
}

ConfigAnswer RunAt(const ConfigQuestion& question,
                   const std::string& service,
                   MonotonicTime sent_at) {
  return {
      "n1 start 1", "q1",      question, sent_at, sent_at + milliseconds(40),
      200,          {service}, true};
}

ConfigAnswer Denied(const ConfigQuestion& question,
                    int status,
                    MonotonicTime sent_at) {
  ConfigAnswer answer = RunAt(question, "", sent_at);
  answer.status = status;
  answer.services.clear();
  return answer;
}

// Accusations of these answers alone.
std::size_t Accusations(const std::vector<ConfigAnswer>& answers) {
  ConfigLedger ledger = MakeLedger();
  for (const ConfigAnswer& answer : answers) {
    ledger.NoteAnswer(answer);
  }
  return ledger.Judge().size();
}

TEST_CASE("What only older versions allow is found later than the bound") {
  const MonotonicTime at_bound = kSecond + milliseconds(2000);
  const MonotonicTime late = kSecond + milliseconds(2001);
  const auto make_old = [](MonotonicTime sent_at) {
    return std::vector<ConfigAnswer>{
        RunAt(kMoved, "a", sent_at), Denied(kAdded, 404, sent_at),
        RunAt(kDropped, "a", sent_at), Denied(kNewKey, 401, sent_at),
        RunAt(kDroppedKey, "a", sent_at)};
  };
  for (const ConfigAnswer& answer : make_old(at_bound)) {
    CAPTURE(answer.question.about);
    CHECK(Accusations({answer}) == 0);
  }
  for (const ConfigAnswer& answer : make_old(late)) {
    CAPTURE(answer.question.about);
    CHECK(Accusations({answer}) == 1);
  }
}

TEST_CASE("What the newest version allows is allowed") {
  const MonotonicTime late = kSecond + seconds(5);
  CHECK(Accusations({RunAt(kMoved, "b", late), RunAt(kSplit, "a", late),
                     RunAt(kSplit, "b", late), RunAt(kAdded, "b", late),
                     Denied(kDropped, 404, late), RunAt(kNewKey, "b", late),
                     Denied(kDroppedKey, 401, late)}) == 0);
}

TEST_CASE("A version that is confirmed before the answer may be in force") {
  CHECK(Accusations({RunAt(kMoved, "a", kThird - milliseconds(20))}) == 0);
  CHECK(Accusations({RunAt(kMoved, "a", kThird - milliseconds(60))}) == 1);
}

TEST_CASE("Every denial that no version in force allows is found") {
  const int status = GENERATE(400, 401, 403, 404);
  CHECK(Accusations({Denied(kMoved, status, kThird + seconds(5))}) == 1);
  CHECK(Accusations({Denied(kMoved, status, kStart + seconds(5))}) == 1);
}

TEST_CASE("Answers that say nothing of a version are not judged") {
  const int status = GENERATE(0, 429, 503, 504);
  CHECK(Accusations({Denied(kMoved, status, kThird + seconds(5))}) == 0);
}

TEST_CASE("Every run of a request is judged, also without an answer") {
  ConfigAnswer answer = RunAt(kMoved, "b", kSecond + seconds(5));
  answer.services.emplace_back("a");
  answer.status = 0;
  CHECK(Accusations({answer}) == 1);
  answer.services = {"b", "b"};
  CHECK(Accusations({answer}) == 0);
}

TEST_CASE("A VM that is not in touch may be late") {
  ConfigAnswer answer = RunAt(kMoved, "a", kSecond + seconds(5));
  answer.in_touch = false;
  CHECK(Accusations({answer}) == 0);
}

TEST_CASE("A process must not go back behind a version that it has shown") {
  ConfigAnswer newer = RunAt(kAdded, "b", kSecond + milliseconds(100));
  const auto make_older = [&](Duration after) {
    return RunAt(kDropped, "a", newer.ended_at + after);
  };
  CHECK(Accusations({newer, make_older(milliseconds(250))}) == 0);
  CHECK(Accusations({newer, make_older(milliseconds(251))}) == 1);
  SECTION("Nor when it is not in touch") {
    newer.in_touch = false;
    ConfigAnswer older = make_older(milliseconds(251));
    older.in_touch = false;
    CHECK(Accusations({newer, older}) == 1);
  }
  SECTION("The next start may") {
    ConfigAnswer older = make_older(milliseconds(251));
    older.process = "n1 start 2";
    CHECK(Accusations({newer, older}) == 0);
  }
}

TEST_CASE("Answers are counted that are bound to a version") {
  ConfigLedger ledger = MakeLedger();
  ledger.NoteAnswer(RunAt(kMoved, "b", kSecond + seconds(5)));
  ledger.NoteAnswer(Denied(kMoved, 503, kSecond + seconds(5)));
  ledger.NoteAnswer(RunAt(kMoved, "a", kStart + seconds(1)));
  CHECK(ledger.Bound() == 1);
}

}  // namespace
}  // namespace kumquatcart::soak
