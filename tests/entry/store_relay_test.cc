// Store calls of an entry VM that the store refuses.
#include <catch2/catch.hpp>

#include "fakes/loop_server.h"
#include "fakes/loop_store.h"

namespace kumquatcart {
namespace {

// A store as two VMs reach it: `direct` is the client's own way, `relay` stands
// for a peer that passes calls on.
struct TwoWays {
  TwoWays()
      : direct(&this->loop),
        relay(&this->loop),
        client(&this->loop, this->direct.Address()) {}
  ~TwoWays() { this->loop.EndCoroutines(); }

  EventLoop loop;
  LoopStore direct;
  LoopStore relay;
  StoreClient client;
};

TEST_CASE("A VM that the store refuses reads and writes through a peer") {
  for (const int refusal : {429, 503}) {
    TwoWays ways;
    ways.direct.refusal = refusal;
    ways.relay.Put("keyed.op", "config", "1");
    ways.client.SetRelays({ways.relay.Address()});
    RunCoroutine(&ways.loop, [&](Coroutine yield) {
      const Result<TopicBatch> batch =
          ways.client.ReadNewest(StoreTopic::kOperator, yield);
      REQUIRE(batch.has_value());
      CHECK(batch.value().records.size() == 1);
      CHECK(ways.client.Append(StoreTopic::kGroups, "g", "1", 0, yield)
                .has_value());
    });
    CHECK(ways.relay.End("keyed.groups") == 1);
    CHECK(!ways.client.IsReachable());
  }
}

TEST_CASE("While the store refuses, most calls go to the peer alone") {
  TwoWays ways;
  ways.direct.refusal = 503;
  ways.client.SetRelays({ways.relay.Address()});
  RunCoroutine(&ways.loop, [&](Coroutine yield) {
    for (int i = 0; i < 20; ++i) {
      CHECK(ways.client.ReadNewest(StoreTopic::kOperator, yield).has_value());
    }
  });
  CHECK(ways.direct.calls <= 2);
}

TEST_CASE("A store that no peer reaches either is unavailable") {
  TwoWays ways;
  ways.direct.refusal = 503;
  ways.relay.refusal = 503;
  ways.client.SetRelays({ways.relay.Address()});
  RunCoroutine(&ways.loop, [&](Coroutine yield) {
    CHECK(ways.client.Append(StoreTopic::kGroups, "g", "1", 0, yield)
              .error()
              .code == ErrorCode::kUnavailable);
  });
}

TEST_CASE("A conflict from the store is not asked of a peer again") {
  TwoWays ways;
  ways.direct.Put("keyed.groups", "g", "1");
  ways.client.SetRelays({ways.relay.Address()});
  RunCoroutine(&ways.loop, [&](Coroutine yield) {
    CHECK(ways.client.Append(StoreTopic::kGroups, "g", "2", 0, yield)
              .error()
              .code == ErrorCode::kConflict);
  });
  CHECK(ways.relay.calls == 0);
}

}  // namespace
}  // namespace kumquatcart
