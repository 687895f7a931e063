#include "routing/prefill_budget.h"

#include <algorithm>

namespace kumquatcart {

namespace {

// Factor on the even share of an entry VM in the groups' prefill capacity. The
// other entry VMs rarely need their full shares at the same time. With a factor
// of 1, requests queue at the entry VM under light load while groups have spare
// capacity.
constexpr double kShareFactor = 2;

}  // namespace

std::optional<double> PrefillBudget(const EngineSpec& engine,
                                    const ModelSpec& model,
                                    Duration gap_target) {
  if (gap_target <= Duration{0} || engine.prompt_tokens_per_second <= 0 ||
      model.pace <= 0) {
    return std::nullopt;
  }
  using Seconds = std::chrono::duration<double>;
  const Seconds pass =
      engine.stride *
      (Seconds(engine.step) + engine.slots * Seconds(engine.step_per_request));
  const Seconds prefill_time = Seconds(gap_target) / model.pace - pass;
  return std::max(0.0, prefill_time.count()) * engine.prompt_tokens_per_second;
}

double LocalPrefillBudget(double budget, int groups, int nodes) {
  return std::max(budget, kShareFactor * budget * groups / std::max(1, nodes));
}

Duration EstimatePrefillWait(const EngineSpec& engine,
                             const ModelSpec& model,
                             double unread,
                             int groups,
                             int nodes) {
  const double rate = kShareFactor * engine.prompt_tokens_per_second * groups /
                      (model.pace * std::max(1, nodes));
  return rate <= 0 ? Duration{0}
                   : std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(unread / rate));
}

}  // namespace kumquatcart
