#include "routing/run_time_bound.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

EngineSpec MakeEngine() {
  EngineSpec engine;
  engine.slots = 26;
  engine.step = std::chrono::microseconds(6450);
  engine.step_per_request = std::chrono::microseconds(97);
  engine.prompt_tokens_per_second = 56'100;
  ModelSpec large;
  large.name = "large";
  ModelSpec small;
  small.name = "small";
  small.pace = 0.6;
  engine.models = {large, small};
  return engine;
}

// Guards against a request that is sent shortly before its VM stops and whose
// answer is cut: the answer may be as long as the request allows.
TEST_CASE("The longest run time covers the largest output on a full group") {
  constexpr std::int64_t kPrompt = 2000;
  constexpr std::int64_t kOutput = 460;
  const EngineSpec engine = MakeEngine();
  const Duration steps =
      kOutput * (engine.step + engine.slots * engine.step_per_request);
  const auto large = LongestRunTime(engine, "large", kPrompt, kOutput);
  REQUIRE(large.has_value());
  CHECK(*large > steps * 13 / 10);
  CHECK(*large < steps * 2);
  const auto small = LongestRunTime(engine, "small", kPrompt, kOutput);
  REQUIRE(small.has_value());
  CHECK(*small < *large * 7 / 10);
  CHECK(*LongestRunTime(engine, "large", kPrompt, 2 * kOutput) > *large);
  CHECK(*LongestRunTime(engine, "large", 20 * kPrompt, kOutput) > *large);
}

TEST_CASE("Without a largest output or a known model no run time is known") {
  const EngineSpec engine = MakeEngine();
  CHECK_FALSE(LongestRunTime(engine, "large", 100, 0).has_value());
  CHECK_FALSE(LongestRunTime(engine, "other", 100, 100).has_value());
  CHECK_FALSE(LongestRunTime(EngineSpec{}, "large", 100, 100).has_value());
}

}  // namespace
}  // namespace kumquatcart
