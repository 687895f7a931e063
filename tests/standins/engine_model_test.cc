#include <chrono>

#include <catch2/catch.hpp>

#include "standins/engine_model.h"

namespace kumquatcart::standins {
namespace {

const VmId kVm("vm-1");

EngineClaim MakeClaim(const std::string& group, GroupEpoch epoch) {
  EngineClaim claim;
  claim.group = GroupId(group);
  claim.epoch = epoch;
  claim.service = ServiceName("lm");
  claim.version = "v1";
  claim.members = {kVm, VmId("vm-2")};
  return claim;
}

class EngineFixture {
 public:
  explicit EngineFixture(bool enforces_fence = true)
      : engine(kVm, "incarnation-1", enforces_fence) {}

  Result<EngineEffects> Give(EngineOrderKind kind,
                             const EngineClaim& claim,
                             FencingNumber fence = 5) {
    EngineOrder order;
    order.id = OrderId("order-" + std::to_string(++this->orders));
    order.kind = kind;
    order.vm = kVm;
    order.fence = fence;
    order.claim = claim;
    return this->engine.Take(order, Duration::zero());
  }

  // Brings the engine to ready.
  void ServeGroup(const EngineClaim& claim) {
    REQUIRE(this->Give(EngineOrderKind::kClaim, claim).has_value());
    this->engine.FinishLoad();
    REQUIRE(this->Give(EngineOrderKind::kServe, claim).has_value());
  }

  EngineState State() const { return this->engine.Report().state; }

  EngineModel engine;
  int orders = 0;
};

GenerateRequest MakeRequest(const std::string& group, GroupEpoch epoch) {
  GenerateRequest request;
  request.group = GroupId(group);
  request.epoch = epoch;
  return request;
}

TEST_CASE("An engine serves only after weights and a serve order") {
  EngineFixture fixture;
  const EngineClaim claim = MakeClaim("g", 1);
  REQUIRE(fixture.Give(EngineOrderKind::kClaim, claim).value().start_load);
  CHECK_FALSE(fixture.Give(EngineOrderKind::kServe, claim).has_value());
  fixture.engine.FinishLoad();
  CHECK(fixture.State() == EngineState::kLoading);
  CHECK(fixture.engine.Report().loaded_version == "lm/v1");
  CHECK_FALSE(fixture.engine.CheckGenerate(MakeRequest("g", 1)).has_value());
  REQUIRE(fixture.Give(EngineOrderKind::kServe, claim).has_value());
  CHECK(fixture.engine.CheckGenerate(MakeRequest("g", 1)).has_value());
  CHECK_FALSE(fixture.engine.CheckGenerate(MakeRequest("g", 2)).has_value());
  CHECK_FALSE(fixture.engine.CheckGenerate(MakeRequest("h", 1)).has_value());
}

TEST_CASE("Only the first member takes requests") {
  EngineFixture fixture;
  EngineClaim claim = MakeClaim("g", 1);
  claim.members = {VmId("vm-2"), kVm};
  fixture.ServeGroup(claim);
  CHECK_FALSE(fixture.engine.CheckGenerate(MakeRequest("g", 1)).has_value());
}

TEST_CASE("An engine belongs to one group until it is released") {
  EngineFixture fixture;
  fixture.ServeGroup(MakeClaim("g", 1));
  CHECK_FALSE(
      fixture.Give(EngineOrderKind::kClaim, MakeClaim("h", 9)).has_value());
  CHECK_FALSE(
      fixture.Give(EngineOrderKind::kRelease, MakeClaim("h", 1)).has_value());
  CHECK_FALSE(
      fixture.Give(EngineOrderKind::kRelease, MakeClaim("g", 2)).has_value());
  REQUIRE(
      fixture.Give(EngineOrderKind::kRelease, MakeClaim("g", 1)).has_value());
  CHECK(fixture.State() == EngineState::kEmpty);
  CHECK(fixture.Give(EngineOrderKind::kClaim, MakeClaim("h", 1)).has_value());
}

TEST_CASE("A higher epoch of the same group keeps loaded weights") {
  EngineFixture fixture;
  fixture.ServeGroup(MakeClaim("g", 1));
  const auto swapped = fixture.Give(EngineOrderKind::kClaim, MakeClaim("g", 2));
  REQUIRE(swapped.has_value());
  CHECK_FALSE(swapped.value().start_load);
  CHECK(swapped.value().end_streams);
  CHECK(fixture.State() == EngineState::kLoading);
  CHECK(fixture.engine.Report().loaded_version == "lm/v1");
  CHECK_FALSE(
      fixture.Give(EngineOrderKind::kClaim, MakeClaim("g", 1)).has_value());
}

TEST_CASE("A new version is loaded anew") {
  EngineFixture fixture;
  fixture.ServeGroup(MakeClaim("g", 1));
  EngineClaim next = MakeClaim("g", 2);
  next.version = "v2";
  CHECK(fixture.Give(EngineOrderKind::kClaim, next).value().start_load);
  CHECK(fixture.engine.Report().loaded_version.empty());
}

TEST_CASE("Only an enforcing engine refuses an old fencing number") {
  const bool enforces = GENERATE(true, false);
  EngineFixture fixture(enforces);
  fixture.ServeGroup(MakeClaim("g", 1));
  CHECK(
      fixture.Give(EngineOrderKind::kDrain, MakeClaim("g", 1), 4).has_value() !=
      enforces);
  CHECK(fixture.engine.Report().fence == 5);
}

TEST_CASE("A repeated order has no further effect") {
  EngineFixture fixture;
  EngineOrder claim;
  claim.id = OrderId("same");
  claim.vm = kVm;
  claim.claim = MakeClaim("g", 1);
  REQUIRE(fixture.engine.Take(claim, Duration::zero()).value().start_load);
  REQUIRE(fixture.Give(EngineOrderKind::kRelease, MakeClaim("g", 1), 0)
              .has_value());
  const auto repeated = fixture.engine.Take(claim, Duration::zero());
  REQUIRE(repeated.has_value());
  CHECK_FALSE(repeated.value().start_load);
  CHECK(fixture.State() == EngineState::kEmpty);
}

TEST_CASE("An order for another VM or past its validity is dropped") {
  EngineFixture fixture;
  EngineOrder order;
  order.id = OrderId("late");
  order.vm = kVm;
  order.valid_for_ms = 100;
  order.claim = MakeClaim("g", 1);
  CHECK_FALSE(
      fixture.engine.Take(order, std::chrono::milliseconds(101)).has_value());
  order.vm = VmId("vm-2");
  CHECK_FALSE(fixture.engine.Take(order, Duration::zero()).has_value());
  CHECK(fixture.State() == EngineState::kEmpty);
}

}  // namespace
}  // namespace kumquatcart::standins
