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

// Guards against a large version that is decoded in one step: requests wait for
// the end of it.
TEST_CASE("Other events are handled while a large version is decoded") {
  EventLoop loop;
  std::optional<RoutingConfig> adopted;
  int events = 0;
  RunCoroutine(&loop, [&](Coroutine yield) {
    ConfigLoader loader(&loop, /*max_step=*/Duration{0},
                        [&](RoutingConfig config) { adopted = config; });
    loader.Load({ConfigText(1, kRoutes), 0});
    const MonotonicTime deadline = TestDeadline(&loop);
    while (!adopted && loop.Now() < deadline) {
      loop.Yield(yield);
      ++events;
    }
  });
  REQUIRE(adopted);
  CHECK(*adopted == DecodeRoutingConfig(ConfigText(1, kRoutes)).value());
  CHECK(adopted->routes.size() == kRoutes);
  CHECK(events >= kRoutes);
}

TEST_CASE("Versions that arrive during a decode replace each other") {
  EventLoop loop;
  std::vector<std::int64_t> versions;
  RunCoroutine(&loop, [&](Coroutine yield) {
    ConfigLoader loader(&loop, Duration{0}, [&](const RoutingConfig& config) {
      versions.push_back(config.version);
    });
    loader.Load({ConfigText(1, kRoutes), 0});
    loop.Yield(yield);
    loader.Load({ConfigText(2, 1), 1});
    loader.Load({ConfigText(3, 1), 2});
    const MonotonicTime deadline = TestDeadline(&loop);
    while (versions.size() < 2 && loop.Now() < deadline) {
      loop.Yield(yield);
    }
  });
  CHECK(versions == std::vector<std::int64_t>{1, 3});
}

TEST_CASE("A version that cannot be decoded is left out") {
  EventLoop loop;
  std::vector<std::int64_t> versions;
  RunCoroutine(&loop, [&](Coroutine yield) {
    ConfigLoader loader(&loop, Duration{0}, [&](const RoutingConfig& config) {
      versions.push_back(config.version);
    });
    for (const char* text :
         {"", "{}", R"({"version": 1, "routes": [1], "services": []})",
          R"({"version": 1, "routes": [{}], "services": []})"}) {
      loader.Load({text, 0});
      loop.Yield(yield);
      loop.Yield(yield);
    }
    loader.Load({ConfigText(2, 1), 1});
    const MonotonicTime deadline = TestDeadline(&loop);
    while (versions.empty() && loop.Now() < deadline) {
      loop.Yield(yield);
    }
  });
  CHECK(versions == std::vector<std::int64_t>{2});
}

}  // namespace
}  // namespace kumquatcart
