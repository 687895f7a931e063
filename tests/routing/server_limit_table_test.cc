// Known limits of servers that start again, leave and return.
#include "routing/server_limit_table.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kServer[] = "s";
constexpr std::int64_t kFirstStart = 1'000;
constexpr std::int64_t kSecondStart = 2'000;
constexpr std::size_t kMaxReported = 64;
const MonotonicTime kNow{seconds(100)};

void Exchange(ServerLimitTable* from, ServerLimitTable* to, MonotonicTime now) {
  for (const ServerLimit& limit : from->NextReport(kMaxReported)) {
    to->Merge(limit, now);
  }
}

double RateOf(const ServerLimitTable& table) {
  const KnownServerLimit* known = table.FindLimit(kServer);
  return known == nullptr ? -1 : known->limit.per_second.value_or(-1);
}

// Guards against a limit of the present start that a VM ends for all, because
// the restart reaches it after the answer that names the limit.
TEST_CASE("A limit that a restarted server names outlasts late news of it") {
  ServerLimitTable early;
  ServerLimitTable late;
  early.HandleStart(kServer, kFirstStart, kNow);
  late.HandleStart(kServer, kFirstStart, kNow);
  early.NoteAnswer(kServer, 3, false, kNow);
  Exchange(&early, &late, kNow);
  REQUIRE(RateOf(late) == 3);
  CHECK(early.HandleStart(kServer, kSecondStart, kNow));
  early.NoteAnswer(kServer, 5, false, kNow);
  Exchange(&early, &late, kNow);
  CHECK_FALSE(late.HandleStart(kServer, kSecondStart, kNow));
  CHECK(RateOf(late) == 5);
  Exchange(&late, &early, kNow);
  CHECK(RateOf(early) == 5);
}

// Guards against a server that nobody calls, since the limit of zero that it
// had before its entry lapsed still holds when it returns.
TEST_CASE(
    "A server that returns under its id has no limit of an earlier start") {
  ServerLimitTable table;
  table.HandleStart(kServer, kFirstStart, kNow);
  table.NoteAnswer(kServer, 0, false, kNow);
  table.DropStale(kNow - seconds(60), [](const std::string&) { return false; });
  REQUIRE(RateOf(table) == 0);
  CHECK(table.HandleStart(kServer, kSecondStart, kNow + seconds(1)));
  CHECK(table.FindLimit(kServer) == nullptr);
}

// Guards against a peer that has not yet received the restart and brings the
// former limit back, with a higher version than the VM knows.
TEST_CASE("A limit of an earlier start is not adopted from a peer") {
  ServerLimitTable table;
  table.HandleStart(kServer, kSecondStart, kNow);
  CHECK_FALSE(table.Merge({kServer, 7, 2.0, kFirstStart}, kNow));
  CHECK(table.FindLimit(kServer) == nullptr);
  CHECK(table.Merge({kServer, 1, 4.0, kSecondStart}, kNow));
  CHECK_FALSE(table.Merge({kServer, 7, 2.0, kFirstStart}, kNow));
  CHECK(RateOf(table) == 4);
}

// Guards against a limit that a restart does not end, because a VM of an
// earlier version reported it, which states no start.
TEST_CASE("A restart ends a limit without a stated start") {
  ServerLimitTable table;
  table.HandleStart(kServer, kFirstStart, kNow);
  table.Merge({kServer, 7, 2.0}, kNow);
  CHECK_FALSE(table.HandleStart(kServer, kFirstStart, kNow));
  CHECK(RateOf(table) == 2);
  CHECK(table.HandleStart(kServer, kSecondStart, kNow));
  CHECK(table.FindLimit(kServer) == nullptr);
}

// Guards against limits of servers that are gone, and ended ones, that VMs
// hand to each other for ever, each after the other has dropped them.
TEST_CASE("Limits that are no longer in use do not circulate") {
  constexpr Duration kLifetime = seconds(60);
  for (const bool has_ended : {false, true}) {
    CAPTURE(has_ended);
    ServerLimitTable left;
    ServerLimitTable right;
    MonotonicTime now = kNow;
    left.HandleStart(kServer, kFirstStart, now);
    right.HandleStart(kServer, kFirstStart, now);
    left.NoteAnswer(kServer, 3, false, now);
    Exchange(&left, &right, now + seconds(1));
    if (has_ended) {
      left.NoteAnswer(kServer, std::nullopt, true, now);
    }
    bool was_kept = false;
    for (int i = 0; i < 400; ++i) {
      now += milliseconds(500);
      for (ServerLimitTable* table : {&left, &right}) {
        table->DropStale(now - kLifetime,
                         [has_ended](const std::string&) { return has_ended; });
      }
      Exchange(&left, &right, now);
      Exchange(&right, &left, now);
      was_kept = !left.NextReport(kMaxReported).empty() ||
                 !right.NextReport(kMaxReported).empty() ||
                 left.FindLimit(kServer) != nullptr ||
                 right.FindLimit(kServer) != nullptr;
    }
    CHECK_FALSE(was_kept);
  }
}

}  // namespace
}  // namespace kumquatcart
