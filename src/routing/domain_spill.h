// When requests leave the failure domain of their entry VM, and how many.
#ifndef ROUTING_DOMAIN_SPILL_H_
#define ROUTING_DOMAIN_SPILL_H_

#include <optional>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"
#include "model/routing_config.h"

namespace kumquatcart {

// Expected time from sending a prompt to a group until its first event: its
// pending prompt tokens and the prompt are read between the steps of
// `active_requests` running requests. Zero where the configuration states no
// rate of reading. Thread safe.
Duration EstimateFirstEvent(const EngineSpec& engine,
                            const ModelSpec& model,
                            double pending_tokens,
                            double prompt_tokens,
                            int active_requests);

// What a request may expect of the groups inside, or of those outside, the
// failure domain.
struct DomainOutlook {
  // Of the group that would take it now; none if no group can.
  std::optional<Duration> first_event;
  int slots = 0;  // Of all these groups, and the free ones of them.
  int free_slots = 0;

  auto Tie() const {
    return std::tie(this->first_event, this->slots, this->free_slots);
  }
};

// What staying and leaving cost a request.
struct SpillTerms {
  // Expected time until a slot of the own failure domain is free.
  Duration home_wait{0};
  // Time until the latest start that meets the latency target; negative: it is
  // missed in any case.
  Duration slack{0};
  // Added to the first event by the way to another failure domain and back.
  Duration round_trip{0};
  // A difference in the first event that a caller does not notice.
  Duration unnoticed{0};

  auto Tie() const {
    return std::tie(this->home_wait, this->slack, this->round_trip,
                    this->unnoticed);
  }
};

enum class SpillDecision {
  kStay,   // Sent to a group of the own failure domain.
  kWait,   // Waits for one.
  kLeave,  // Sent to a group of another failure domain.
};

// Decides for one request. Traffic between failure domains costs money, so a
// request leaves only for what its caller notices: it would wait too long for
// its latency target, or get its first event noticeably later. The last slots
// of other failure domains are left to their own requests, and more of them are
// left by a request that misses its target anyhow. As each request that leaves
// reduces what is free outside, that also bounds how many leave. Thread safe.
SpillDecision DecideSpill(const DomainOutlook& home,
                          const DomainOutlook& outside,
                          const SpillTerms& terms);

}  // namespace kumquatcart

#endif  // ROUTING_DOMAIN_SPILL_H_
