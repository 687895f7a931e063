#include "routing/slot_ledger.h"

#include <map>
#include <string>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

const MonotonicTime kStart{std::chrono::seconds(100)};

struct Ledger {
  ClusterLoad load;
  SlotLedger ledger{&this->load, "zone"};

  void Grant(const std::string& node, std::int64_t id, MonotonicTime now) {
    this->ledger.Grant(node, id, {"s", "g", 3, now});
  }
};

TEST_CASE("A slot counts from its grant until its return") {
  Ledger test;
  test.Grant("a", 1, kStart);
  test.Grant("b", 1, kStart);
  CHECK(test.load.Total("s") == 2);
  test.Grant("a", 1, kStart);  // A repeated message.
  CHECK(test.load.Total("s") == 2);
  test.ledger.Return("a", 1, kStart);
  test.ledger.Return("a", 1, kStart);
  test.ledger.Return("c", 1, kStart);
  CHECK(test.load.Total("s") == 1);
  CHECK(test.ledger.Find("a", 1) == nullptr);
  REQUIRE(test.ledger.Find("b", 1) != nullptr);
  CHECK(test.ledger.Find("b", 1)->group == "g");
}

TEST_CASE("A digest does not replace what a node reports to the ledger") {
  Ledger test;
  test.ledger.AcceptReport("a", {{1, "s"}, {2, "s"}}, kStart);
  test.load.Report("a", "zone", {{"s", 7}}, kStart + milliseconds(1500));
  CHECK(test.load.Total("s") == 2);
  test.Grant("a", 3, kStart);
  CHECK(test.load.Total("s") == 3);
}

// Guards against slots that leak because the datagram of their return was lost.
TEST_CASE("A report ends leases that the node no longer holds") {
  Ledger test;
  test.Grant("a", 1, kStart);
  test.Grant("a", 2, kStart);
  // The grants may still be on their way.
  test.ledger.AcceptReport("a", {}, kStart + milliseconds(100));
  CHECK(test.load.Total("s") == 2);
  test.ledger.AcceptReport("a", {{2, "s"}}, kStart + milliseconds(400));
  CHECK(test.load.Total("s") == 1);
}

TEST_CASE("A new coordinator learns from a report what is in use") {
  Ledger test;
  test.load.Report("a", "zone", {{"s", 4}}, kStart + milliseconds(1500));
  test.ledger.AcceptReport("a", {{1, "s"}, {2, "t"}}, kStart);
  CHECK(test.load.Total("s") == 1);
  CHECK(test.load.Total("t") == 1);
  test.ledger.Return("a", 1, kStart);
  CHECK(test.load.Total("s") == 0);
}

TEST_CASE("The slots of a dead node are free after a second and a half") {
  Ledger test;
  test.ledger.AcceptReport("a", {{1, "s"}}, kStart);
  test.ledger.DropSilent(kStart + milliseconds(1499));
  CHECK(test.load.Total("s") == 1);
  test.ledger.DropSilent(kStart + milliseconds(1500));
  CHECK(test.load.Total("s") == 0);
  CHECK(test.ledger.Size() == 0);
  // Its digests count again.
  test.load.DropExpired(kStart + milliseconds(1501));
  test.load.Report("a", "zone", {{"s", 2}}, kStart + milliseconds(3000));
  CHECK(test.load.Total("s") == 2);
}

// The naive ledger: the set of leases, counted anew each time.
TEST_CASE("The counts of any sequence of messages match the leases") {
  CHECK(rc::check([] {
    Ledger test;
    std::map<std::pair<std::string, std::int64_t>, std::string> naive;
    MonotonicTime now = kStart;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const std::string node = *rc::gen::element<std::string>("a", "b", "c");
      const std::int64_t id = *rc::gen::inRange(1, 6);
      const std::string server = *rc::gen::element<std::string>("s", "t");
      now += milliseconds(*rc::gen::inRange(0, 20));
      if (*rc::gen::inRange(0, 3) > 0) {
        test.ledger.Grant(node, id, {server, "g", 1, now});
        naive.emplace(std::pair(node, id), server);
      } else {
        test.ledger.Return(node, id, now);
        naive.erase({node, id});
      }
      std::map<std::string, int> counts;
      for (const auto& entry : naive) {
        ++counts[entry.second];
      }
      RC_ASSERT(test.load.Total("s") == counts["s"]);
      RC_ASSERT(test.load.Total("t") == counts["t"]);
      RC_ASSERT(test.ledger.Size() == naive.size());
    }
  }));
}

}  // namespace
}  // namespace kumquatcart
