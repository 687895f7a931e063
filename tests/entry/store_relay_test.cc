// Guards against an entry VM losing the store when the store refuses only this
// VM: its calls must then go through a peer.
#include <catch2/catch.hpp>

#include "fakes/loop_server.h"
#include "fakes/loop_store.h"

namespace kumquatcart {
namespace {

// A client with a direct connection to the store and a peer that relays calls.
// Two fake stores stand for the two paths.
struct RelayFixture {
  RelayFixture()
      : direct(&this->loop),
        relay(&this->loop),
        client(&this->loop, this->direct.Address()) {}
  ~RelayFixture() { this->loop.UnwindCoroutines(); }

  void UseRelay() {
    this->client.SetRelays(
        [this] { return std::vector<TcpEndpoint>{this->relay.Address()}; });
  }

  EventLoop loop;
  LoopStore direct;
  LoopStore relay;
  StoreClient client;
};

TEST_CASE("A VM that the store refuses reads and writes through a peer") {
  for (const int refusal : {429, 503}) {
    RelayFixture fixture;
    fixture.direct.refusal = refusal;
    fixture.relay.Put("keyed.op", "config", "1");
    fixture.UseRelay();
    RunCoroutine(&fixture.loop, [&](Coroutine yield) {
      const Result<TopicBatch> batch =
          fixture.client.ReadNewest(StoreTopic::kOperator, yield);
      REQUIRE(batch.has_value());
      CHECK(batch.value().records.size() == 1);
      CHECK(fixture.client.Append(StoreTopic::kGroups, "g", "1", 0, yield)
                .has_value());
    });
    CHECK(fixture.relay.End("keyed.groups") == 1);
    CHECK(!fixture.client.IsReachable());
  }
}

TEST_CASE("While the store refuses, most calls go to the peer alone") {
  RelayFixture fixture;
  fixture.direct.refusal = 503;
  fixture.UseRelay();
  RunCoroutine(&fixture.loop, [&](Coroutine yield) {
    for (int i = 0; i < 20; ++i) {
      CHECK(
          fixture.client.ReadNewest(StoreTopic::kOperator, yield).has_value());
    }
  });
  CHECK(fixture.direct.calls <= 2);
}

TEST_CASE("The store is unavailable when the peer cannot reach it either") {
  RelayFixture fixture;
  fixture.direct.refusal = 503;
  fixture.relay.refusal = 503;
  fixture.UseRelay();
  RunCoroutine(&fixture.loop, [&](Coroutine yield) {
    CHECK(fixture.client.Append(StoreTopic::kGroups, "g", "1", 0, yield)
              .error()
              .code == ErrorCode::kUnavailable);
  });
}

TEST_CASE("A conflict reported by the store is not retried through a peer") {
  RelayFixture fixture;
  fixture.direct.Put("keyed.groups", "g", "1");
  fixture.UseRelay();
  RunCoroutine(&fixture.loop, [&](Coroutine yield) {
    CHECK(fixture.client.Append(StoreTopic::kGroups, "g", "2", 0, yield)
              .error()
              .code == ErrorCode::kConflict);
  });
  CHECK(fixture.relay.calls == 0);
}

}  // namespace
}  // namespace kumquatcart
