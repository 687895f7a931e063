#include "routing/router.h"

#include <set>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "routing/routing_fixture.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 7;

struct Fixture {
  Fixture() : board(MakeIdentity("n1", "fd-a")) {
    PublishModelService(&this->board, "llm");
    query.service = ServiceName("llm");
  }

  Route ChooseAndFinish(AttemptResult result) {
    const Result<Route> route = this->router.Choose(this->query);
    REQUIRE(route.has_value());
    this->router.Finish(route.value(), result, milliseconds(10));
    return route.value();
  }

  ManualClock clock;
  Board board;
  Router router{&clock, &board, RouterSettings(), kSeed};
  RouteQuery query;
};

TEST_CASE("Only whole groups of the service are chosen") {
  rc::prop("whatever states the groups are in", [] {
    Fixture fixture;
    std::set<std::string> whole;
    for (int index = 0; index < 6; ++index) {
      const std::string name = "g" + std::to_string(index);
      const bool other_service = *rc::gen::inRange(0, 4) == 0;
      ReplicaGroup group =
          MakeGroup(name, other_service ? "other" : "llm", "fd-a", 4);
      group.state = static_cast<GroupState>(*rc::gen::inRange(0, 4));
      if (group.state == GroupState::kWhole && !other_service) {
        whole.insert(name);
      }
      PublishGroup(&fixture.board, group);
    }
    const Result<Route> route = fixture.router.Choose(fixture.query);
    RC_ASSERT(route.has_value() == !whole.empty());
    if (route.has_value()) {
      RC_ASSERT(whole.count(route.value().group.value) == 1U);
    }
  });
}

TEST_CASE(
    "An unknown service and a missing backend server are distinct errors") {
  Fixture fixture;
  REQUIRE(fixture.router.Choose(fixture.query).error().code ==
          ErrorCode::kUnavailable);
  REQUIRE(fixture.router.Choose(fixture.query).error().retry_after_ms > 0);
  fixture.query.service = ServiceName("nothing");
  REQUIRE(fixture.router.Choose(fixture.query).error().code ==
          ErrorCode::kNotFound);
}

TEST_CASE("A repeatedly failing backend server is avoided, then probed") {
  Fixture fixture;
  PublishGroup(&fixture.board, MakeGroup("bad", "llm", "fd-a", 4));
  PublishGroup(&fixture.board, MakeGroup("good-1", "llm", "fd-a", 4));
  PublishGroup(&fixture.board, MakeGroup("good-2", "llm", "fd-a", 4));
  const auto result_of = [&](const Route& route) {
    return route.group == GroupId("bad") ? AttemptResult::kFailed
                                         : AttemptResult::kAnswered;
  };
  int bad = 0;
  for (int attempt = 0; attempt < 100; ++attempt) {
    const Route route = fixture.router.Choose(fixture.query).value();
    fixture.router.Finish(route, result_of(route), milliseconds(10));
    bad += route.group == GroupId("bad") ? 1 : 0;
  }
  REQUIRE(bad == 3);
  fixture.clock.Advance(milliseconds(600));
  std::set<std::string> probed;
  for (int attempt = 0; attempt < 50; ++attempt) {
    probed.insert(
        fixture.ChooseAndFinish(AttemptResult::kAnswered).group.value);
  }
  REQUIRE(probed.count("bad") == 1);
}

// Guards against a group that gets no requests after it was formed anew, since
// its former members failed, or requests to them end later.
TEST_CASE("Failures of a former epoch do not count against a group") {
  Fixture fixture;
  ReplicaGroup group = MakeGroup("formed-anew", "llm", "fd-a", 4);
  PublishGroup(&fixture.board, group);
  std::vector<Route> former;
  for (int attempt = 0; attempt < 10; ++attempt) {
    fixture.ChooseAndFinish(AttemptResult::kFailed);
    former.push_back(fixture.router.Choose(fixture.query).value());
  }
  PublishGroup(&fixture.board, MakeGroup("other", "llm", "fd-a", 4));
  group.claim.epoch = 2;
  PublishGroup(&fixture.board, group);
  for (const Route& route : former) {
    fixture.router.Finish(route, AttemptResult::kFailed, milliseconds(10));
  }
  std::set<std::string> chosen;
  for (int attempt = 0; attempt < 50; ++attempt) {
    chosen.insert(
        fixture.ChooseAndFinish(AttemptResult::kAnswered).group.value);
  }
  CHECK(chosen.count("formed-anew") == 1);
}

TEST_CASE("The only backend server is used regardless of its failures") {
  Fixture fixture;
  PublishGroup(&fixture.board, MakeGroup("only", "llm", "fd-a", 4));
  for (int attempt = 0; attempt < 20; ++attempt) {
    fixture.ChooseAndFinish(AttemptResult::kFailed);
  }
  REQUIRE(fixture.router.Choose(fixture.query).has_value());
}

TEST_CASE("A retry excludes the backend servers already tried") {
  Fixture fixture;
  PublishGroup(&fixture.board, MakeGroup("g1", "llm", "fd-a", 4));
  PublishGroup(&fixture.board, MakeGroup("g2", "llm", "fd-b", 4));
  const Route first = fixture.router.Choose(fixture.query).value();
  fixture.query.excluded.push_back(first.backend);
  const Route second = fixture.router.Choose(fixture.query).value();
  REQUIRE(second.backend != first.backend);
  fixture.query.excluded.push_back(second.backend);
  REQUIRE(fixture.router.Choose(fixture.query).has_error());
}

TEST_CASE("Requests stay in the local failure domain until it is busy") {
  Fixture fixture;
  PublishGroup(&fixture.board, MakeGroup("near", "llm", "fd-a", 4));
  PublishGroup(&fixture.board, MakeGroup("far", "llm", "fd-b", 4));
  std::vector<std::string> order;
  for (int attempt = 0; attempt < 4; ++attempt) {
    order.push_back(fixture.router.Choose(fixture.query).value().group.value);
  }
  REQUIRE(order[0] == "near");
  REQUIRE(order[1] == "near");
  REQUIRE(order[3] == "far");
}

TEST_CASE("Slow start raises the weight from 0.1 to 1") {
  REQUIRE(SlowStartWeight(milliseconds(0), milliseconds(1000)) == Approx(0.1));
  REQUIRE(SlowStartWeight(milliseconds(500), milliseconds(1000)) ==
          Approx(0.5));
  REQUIRE(SlowStartWeight(milliseconds(1000), milliseconds(1000)) == 1);
  REQUIRE(SlowStartWeight(milliseconds(0), milliseconds(0)) == 1);
}

}  // namespace
}  // namespace kumquatcart
