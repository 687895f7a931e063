#include "control/order_sender.h"

#include <catch2/catch.hpp>

#include "base/worker_pool.h"
#include "fakes/fake_engine_fleet.h"

namespace kumquatcart {
namespace {

using std::chrono::seconds;

struct SenderFixture {
  SenderFixture()
      : pool(1),
        sender(
            &clock,
            &pool,
            &fleet,
            &metrics,
            [this](MonotonicTime) { return standing; },
            seconds(1),
            seconds(2)) {
    this->fleet.Add(VmId("fenced"));
    this->fleet.Add(VmId("unfenced"), false);
    this->standing.right = EngineScope::kAllEngines;
    this->standing.fence = 7;
    this->standing.expires_at = this->clock.Now() + seconds(1);
  }

  std::vector<OrderResult> SendBoth(FencingNumber fence) {
    std::vector<AddressedOrder> orders;
    for (const char* name : {"fenced", "unfenced"}) {
      AddressedOrder addressed;
      addressed.endpoint.host = name;
      addressed.enforces_fence = addressed.endpoint.host == "fenced";
      addressed.order.kind = EngineOrderKind::kClaim;
      addressed.order.vm = VmId(name);
      addressed.order.claim.group = GroupId("g");
      addressed.order.claim.members = {VmId(name)};
      orders.push_back(addressed);
    }
    std::vector<OrderResult> results;
    for (const OrderReport& report : this->sender.SendAll(fence, orders)) {
      results.push_back(report.result);
    }
    return results;
  }

  ManualClock clock;
  WorkerPool pool;
  FakeEngineFleet fleet;
  MetricRegistry metrics;
  OrderAuthority standing;
  OrderSender sender;
};

using Results = std::vector<OrderResult>;

TEST_CASE("orders are sent only while the lease with their fence covers them") {
  SenderFixture fixture;
  REQUIRE(fixture.SendBoth(6) ==
          Results{OrderResult::kNotSent, OrderResult::kNotSent});
  fixture.standing.right = EngineScope::kNone;
  REQUIRE(fixture.SendBoth(7) ==
          Results{OrderResult::kNotSent, OrderResult::kNotSent});
  fixture.standing.right = EngineScope::kFencedEnginesOnly;
  REQUIRE(fixture.SendBoth(7) ==
          Results{OrderResult::kApplied, OrderResult::kNotSent});
  fixture.standing.right = EngineScope::kAllEngines;
  REQUIRE(fixture.SendBoth(7) ==
          Results{OrderResult::kApplied, OrderResult::kApplied});
}

}  // namespace
}  // namespace kumquatcart
