#include "entry/config_loader.h"

#include <catch2/catch.hpp>

#include "fakes/loop_server.h"
#include "platform/config_decoder.h"

namespace kumquatcart {
namespace {

constexpr int kRoutes = 1400;

std::string ConfigText(int version, int routes) {
  std::string list;
  for (int i = 0; i < routes; ++i) {
    list += (i == 0 ? "" : ",") +
            (R"({"host": "h", "path_prefix": "/)" + std::to_string(i) +
             R"(/", "kind": "idempotent", "service": "s"})");
  }
  return R"({"version": )" + std::to_string(version) + R"(, "routes": [)" +
         list + R"(], "services": [{"name": "s"}]})";
}

// Loads versions into a loader that returns to the loop after each route.
struct LoaderFixture {
  LoaderFixture()
      : loader(&this->loop,
               /*max_step=*/Duration{0},
               [this](const RoutingConfig& config) {
                 const bool is_newer =
                     this->adopted.empty() ||
                     config.version > this->adopted.back().version;
                 if (is_newer) {
                   this->adopted.push_back(config);
                 }
                 return is_newer;
               }) {}
  ~LoaderFixture() { this->loop.UnwindCoroutines(); }
  LoaderFixture(const LoaderFixture&) = delete;
  LoaderFixture& operator=(const LoaderFixture&) = delete;

  // Lets the loader work until it has adopted `count` versions. Returns how
  // often other events were handled meanwhile.
  int WaitForAdopted(std::size_t count, Coroutine yield) {
    const MonotonicTime deadline = TestDeadline(&this->loop);
    int events = 0;
    while (this->adopted.size() < count && this->loop.Now() < deadline) {
      this->loop.Yield(yield);
      ++events;
    }
    return events;
  }

  std::vector<std::int64_t> AdoptedVersions() const {
    std::vector<std::int64_t> versions;
    for (const RoutingConfig& config : this->adopted) {
      versions.push_back(config.version);
    }
    return versions;
  }

  EventLoop loop;
  std::vector<RoutingConfig> adopted;
  ConfigLoader loader;
};

// Guards against a large version that is decoded in one step: requests wait for
// the end of it.
TEST_CASE("Other events are handled while a large version is decoded") {
  LoaderFixture fixture;
  int events = 0;
  RunCoroutine(&fixture.loop, [&](Coroutine yield) {
    fixture.loader.Load({ConfigText(1, kRoutes), {0, 0}});
    events = fixture.WaitForAdopted(1, yield);
  });
  REQUIRE(fixture.adopted.size() == 1);
  CHECK(fixture.adopted[0] ==
        DecodeRoutingConfig(ConfigText(1, kRoutes)).value());
  CHECK(fixture.adopted[0].routes.size() == kRoutes);
  CHECK(events >= kRoutes);
}

TEST_CASE("Versions that arrive during a decode replace each other") {
  LoaderFixture fixture;
  RunCoroutine(&fixture.loop, [&](Coroutine yield) {
    fixture.loader.Load({ConfigText(1, kRoutes), {0, 0}});
    fixture.loop.Yield(yield);
    fixture.loader.Load({ConfigText(2, 1), {0, 1}});
    fixture.loader.Load({ConfigText(3, 1), {0, 2}});
    fixture.WaitForAdopted(2, yield);
  });
  CHECK(fixture.AdoptedVersions() == std::vector<std::int64_t>{1, 3});
}

// Guards against a readable version that is lost because one arrives after it
// that cannot be decoded or has a lower number.
TEST_CASE("A version is not replaced by one that cannot be adopted") {
  for (const std::string& last : {std::string("{"), ConfigText(1, 1)}) {
    LoaderFixture fixture;
    RunCoroutine(&fixture.loop, [&](Coroutine yield) {
      fixture.loader.Load({ConfigText(1, kRoutes), {0, 0}});
      fixture.loop.Yield(yield);
      fixture.loader.Load({ConfigText(2, 1), {0, 1}});
      fixture.loader.Load({last, {0, 2}});
      fixture.WaitForAdopted(2, yield);
    });
    CHECK(fixture.AdoptedVersions() == std::vector<std::int64_t>{1, 2});
  }
}

TEST_CASE("A version that cannot be decoded is left out") {
  LoaderFixture fixture;
  RunCoroutine(&fixture.loop, [&](Coroutine yield) {
    std::int64_t offset = 0;
    for (const char* text :
         {"", "{}", R"({"version": 1, "routes": [1], "services": []})",
          R"({"version": 1, "routes": [{}], "services": []})"}) {
      fixture.loader.Load({text, {0, offset++}});
      fixture.loop.Yield(yield);
    }
    fixture.loader.Load({ConfigText(2, 1), {0, offset}});
    fixture.WaitForAdopted(1, yield);
  });
  CHECK(fixture.AdoptedVersions() == std::vector<std::int64_t>{2});
}

}  // namespace
}  // namespace kumquatcart
