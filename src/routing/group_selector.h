// Selection of the replica group that a request is sent to.
#ifndef ROUTING_GROUP_SELECTOR_H_
#define ROUTING_GROUP_SELECTOR_H_

#include <optional>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "routing/domain_spill.h"

namespace kumquatcart {

// A replica group that could take the request.
struct GroupCandidate {
  int active_requests = 0;  // Of all entry VMs.
  int slots = 1;
  bool same_failure_domain = true;  // As this entry VM.
  // Prompt tokens that were sent to it and await prefill.
  double pending_tokens = 0;
  // The part of them that this entry VM has sent.
  double local_pending_tokens = 0;
  // Expected time to the first event of the request.
  Duration first_event{0};

  auto Tie() const {
    return std::tie(this->active_requests, this->slots,
                    this->same_failure_domain, this->pending_tokens,
                    this->local_pending_tokens, this->first_event);
  }
};

// Requirements of a request.
struct RequestDemand {
  double prompt_tokens = 0;
  // Prompt tokens that may await prefill in one candidate; none for no bound.
  std::optional<double> prefill_budget;
  // Prompt tokens of this entry VM that may await prefill in all candidates
  // together; none for no bound.
  std::optional<double> local_prefill_budget;
  bool is_late = false;  // It misses its latency target in any group.
  // Decide whether the request leaves the failure domain; none: by the free
  // slots alone.
  std::optional<SpillTerms> spill;

  auto Tie() const {
    return std::tie(this->prompt_tokens, this->prefill_budget,
                    this->local_prefill_budget, this->is_late, this->spill);
  }
};

// Weighted random selection among the candidates that have a free slot and
// enough prefill budget for the prompt; none if no candidate can take the
// request. The weight depends on free slots, failure domain and pending prompt
// tokens. A candidate without pending prompt tokens accepts a prompt of any
// size. Late requests leave some slots and budget to requests that can still be
// on time.
//
// The selection is random because other entry VMs select at the same time from
// counts that are some hundred milliseconds old. If each selected the candidate
// with the lowest load, all would select the same one, typically a group that
// has just opened.
//
// `draws`: uniform random numbers, one per candidate, above 0 and up to 1.
// Thread safe.
std::optional<std::size_t> SelectGroup(
    const std::vector<GroupCandidate>& candidates,
    const RequestDemand& demand,
    const std::vector<double>& draws);

// As SelectGroup(), for the node that selects for all entry VMs of its failure
// domain. Its counts of the groups in the domain are exact, so that it takes
// the one with the highest weight. The counts of other groups are as old as in
// SelectGroup(), and such a group is selected where DecideSpill() says so;
// without `demand.spill`, where the own ones are full or have much less room.
// Late requests leave some slots of the domain free, in whichever group they
// are. Thread safe.
std::optional<std::size_t> SelectGroupForDomain(
    const std::vector<GroupCandidate>& candidates,
    const RequestDemand& demand,
    const std::vector<double>& draws);

}  // namespace kumquatcart

#endif  // ROUTING_GROUP_SELECTOR_H_
