// What the soak's store answers after it has come back from an older copy.
#include "soak/store_stand_in.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "base/json.h"
#include "fakes/loop_server.h"
#include "net/http_client.h"
#include "net/http_status.h"
#include "soak/loopback.h"

namespace kumquatcart::soak {
namespace {

using std::chrono::milliseconds;

constexpr char kTopic[] = "keyed.op";
// More and less than the age of the copy.
constexpr Duration kBeforeCopy = milliseconds(100);
constexpr Duration kAge = milliseconds(50);

class Store {
 public:
  explicit Store(bool names_era = true)
      : stand_in(&this->loop, names_era),
        address(FreeLoopbackAddress(&this->loop, kPlatformHost)) {
    REQUIRE(this->stand_in.Start(this->address).has_value());
  }

  HttpResponse Get(const std::string& target, Coroutine yield) {
    HttpClient client(&this->loop);
    return client.Exchange(this->address, {"GET", target, {}, ""},
                           TestDeadline(&this->loop), Duration{0}, yield);
  }
  HttpResponse ReadFrom(int offset, int wait_ms, Coroutine yield) {
    return this->Get(
        fmt::format("/api/log-read?topic={}&part=0&from={}&wait_ms={}", kTopic,
                    offset, wait_ms),
        yield);
  }

  // Writes two records before the copy and two after it, and rolls back.
  StoreStandIn::Topics RollBack(Coroutine yield) {
    this->stand_in.Put(kTopic, "a", "1");
    this->stand_in.Put(kTopic, "b", "2");
    this->loop.Sleep(kBeforeCopy, yield);
    this->stand_in.Put(kTopic, "a", "3");
    this->stand_in.Put(kTopic, "b", std::nullopt);
    return this->stand_in.RollBack(kAge);
  }

  EventLoop loop;
  StoreStandIn stand_in;

 private:
  const TcpEndpoint address;
};

std::string EraOf(const HttpResponse& answer) {
  return std::string(FindHeader(answer.headers, "Store-Era"));
}

TEST_CASE("A rollback forgets the newest records and gives offsets out again") {
  Store store;
  RunCoroutine(&store.loop, [&](Coroutine yield) {
    const StoreStandIn::Topics lost = store.RollBack(yield);
    REQUIRE(lost.at(kTopic).size() == 2);
    CHECK(lost.at(kTopic).front().value == "3");
    CHECK_FALSE(lost.at(kTopic).back().value);
    const HttpResponse gone = store.ReadFrom(3, 0, yield);
    CHECK(gone.status == kHttpGone);
    CHECK(ParseJson(gone.body).value().at("first") == 0);
    CHECK(store.ReadFrom(2, 0, yield).status == kHttpOk);
    store.stand_in.Put(kTopic, "c", "4");
    const HttpResponse newest = store.Get(
        fmt::format("/api/log-newest?topic={}&part=0", kTopic), yield);
    const Json items = ParseJson(newest.body).value().at("items");
    REQUIRE(items.size() == 3);
    CHECK(items.at(2).at("offset") == 2);
  });
}

TEST_CASE("Every answer names the era, which each rollback raises by one") {
  Store store;
  Store old_store(false);
  RunCoroutine(&store.loop, [&](Coroutine yield) {
    CHECK(EraOf(store.ReadFrom(0, 0, yield)) == "1");
    store.RollBack(yield);
    CHECK(EraOf(store.ReadFrom(2, 0, yield)) == "2");
    CHECK(EraOf(store.ReadFrom(9, 0, yield)) == "2");
    store.stand_in.RollBack(Duration{0});
    store.stand_in.SetAway(true);
    CHECK(EraOf(store.ReadFrom(2, 0, yield)) == "3");
  });
  RunCoroutine(&old_store.loop, [&](Coroutine yield) {
    CHECK(EraOf(old_store.ReadFrom(0, 0, yield)).empty());
  });
}

TEST_CASE("While it is away it refuses calls, also those that wait") {
  Store store;
  RunCoroutine(&store.loop, [&](Coroutine yield) {
    CHECK(store.stand_in.SoundSince());
    store.loop.Spawn([&](Coroutine inner) {
      store.loop.Sleep(kAge, inner);
      store.stand_in.SetAway(true);
    });
    CHECK(store.ReadFrom(0, 10000, yield).status == kHttpServiceUnavailable);
    CHECK_FALSE(store.stand_in.SoundSince());
    store.stand_in.SetAway(false);
    CHECK(store.ReadFrom(0, 0, yield).status == kHttpOk);
  });
}

}  // namespace
}  // namespace kumquatcart::soak
