#include "routing/domain_spill.h"

namespace kumquatcart {

namespace {

// Part of the time until the latest start for which a request waits at home.
// The rest covers the error of the estimate.
constexpr int kSlackPerWait = 10;
// Fractions of the slots outside that stay free for the requests of those
// failure domains: what arrives there until the counts of this one are known,
// and what one that misses its target would displace.
constexpr double kOutsideReserve = 0.05;
constexpr double kOutsideReserveOfLate = 0.15;

}  // namespace

Duration EstimateFirstEvent(const EngineSpec& engine,
                            const ModelSpec& model,
                            double pending_tokens,
                            double prompt_tokens,
                            int active_requests) {
  if (engine.prompt_tokens_per_second <= 0) {
    return Duration{0};
  }
  using Seconds = std::chrono::duration<double>;
  const Seconds reading((pending_tokens + prompt_tokens) /
                        engine.prompt_tokens_per_second);
  const Seconds steps =
      engine.stride * (Seconds(engine.step) +
                       active_requests * Seconds(engine.step_per_request));
  return std::chrono::duration_cast<Duration>((reading + steps) * model.pace);
}

SpillDecision DecideSpill(const DomainOutlook& home,
                          const DomainOutlook& outside,
                          const SpillTerms& terms) {
  const bool is_late = terms.slack < Duration{0};
  if (home.slots == 0) {  // No group to wait for.
    return outside.first_event ? SpillDecision::kLeave : SpillDecision::kWait;
  }
  const double reserve =
      outside.slots * (is_late ? kOutsideReserveOfLate : kOutsideReserve);
  const bool has_room_outside =
      outside.first_event && outside.free_slots > reserve;
  if (home.first_event) {
    const bool pays =
        has_room_outside &&
        *home.first_event - *outside.first_event - terms.round_trip >
            terms.unnoticed;
    return pays ? SpillDecision::kLeave : SpillDecision::kStay;
  }
  const bool can_wait =
      !is_late && terms.home_wait * kSlackPerWait <= terms.slack;
  return has_room_outside && !can_wait ? SpillDecision::kLeave
                                       : SpillDecision::kWait;
}

}  // namespace kumquatcart
