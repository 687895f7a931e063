#include "routing/run_time_bound.h"

namespace kumquatcart {

namespace {

// Factor for the prompts of other requests, which are read between token steps.
constexpr double kOtherPromptsFactor = 1.4;
// Time at the group before the request's own prompt is read.
constexpr Duration kStartTime = std::chrono::milliseconds(500);

}  // namespace

std::optional<Duration> LongestRunTime(const EngineSpec& engine,
                                       const std::string& model,
                                       std::int64_t prompt_tokens,
                                       std::int64_t max_output_tokens) {
  const ModelSpec* spec = engine.FindModel(model);
  if (spec == nullptr || max_output_tokens <= 0 ||
      engine.prompt_tokens_per_second <= 0) {
    return std::nullopt;
  }
  const std::chrono::duration<double> step =
      engine.step + engine.slots * engine.step_per_request;
  const std::chrono::duration<double> prompt(
      static_cast<double>(prompt_tokens) / engine.prompt_tokens_per_second);
  const auto output = static_cast<double>(max_output_tokens) * step;
  return kStartTime + std::chrono::duration_cast<Duration>(
                          spec->pace * kOtherPromptsFactor * (prompt + output));
}

}  // namespace kumquatcart
