// Store calls of an entry VM that the store refuses.
#include <catch2/catch.hpp>

#include "fakes/loop_server.h"
#include "fakes/loop_store.h"

namespace kumquatcart {
namespace {

// A store as two VMs reach it: `direct` is the client's own way, `relay` stands
// for a peer that passes calls on.
struct RelayFixture {
  RelayFixture()
      : direct(&this->loop),
        relay(&this->loop),
        client(&this->loop, this->direct.Address()) {}
  ~RelayFixture() { this->loop.EndCoroutines(); }

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
    fixture.client.SetRelays({fixture.relay.Address()});
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
  fixture.client.SetRelays({fixture.relay.Address()});
  RunCoroutine(&fixture.loop, [&](Coroutine yield) {
    for (int i = 0; i < 20; ++i) {
      CHECK(
          fixture.client.ReadNewest(StoreTopic::kOperator, yield).has_value());
    }
  });
  CHECK(fixture.direct.calls <= 2);
}

TEST_CASE("A store that no peer reaches either is unavailable") {
  RelayFixture fixture;
  fixture.direct.refusal = 503;
  fixture.relay.refusal = 503;
  fixture.client.SetRelays({fixture.relay.Address()});
  RunCoroutine(&fixture.loop, [&](Coroutine yield) {
    CHECK(fixture.client.Append(StoreTopic::kGroups, "g", "1", 0, yield)
              .error()
              .code == ErrorCode::kUnavailable);
  });
}

TEST_CASE("A conflict from the store is not asked of a peer again") {
  RelayFixture fixture;
  fixture.direct.Put("keyed.groups", "g", "1");
  fixture.client.SetRelays({fixture.relay.Address()});
  RunCoroutine(&fixture.loop, [&](Coroutine yield) {
    CHECK(fixture.client.Append(StoreTopic::kGroups, "g", "2", 0, yield)
              .error()
              .code == ErrorCode::kConflict);
  });
  CHECK(fixture.relay.calls == 0);
}

}  // namespace
}  // namespace kumquatcart
