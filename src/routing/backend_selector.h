// Selection among the backend servers of one service, as a pure function.
#ifndef ROUTING_BACKEND_SELECTOR_H_
#define ROUTING_BACKEND_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "routing/backend_id.h"

namespace kumquatcart {

// Topological distance of a backend server from this node.
enum class Distance { kSameFailureDomain, kSameRegion, kOtherRegion };

// One backend server that could take the attempt.
struct Candidate {
  BackendId id;
  double load = 0;      // Estimated number of active streams.
  double capacity = 1;  // Streams that it can run at once; above 0.
  double weight = 1;    // Fraction of the capacity to use, above 0 up to 1.
  Distance distance = Distance::kSameFailureDomain;
  bool suspected = false;  // Circuit open or ejected as an outlier.

  auto Tie() const {
    return std::tie(this->id, this->load, this->capacity, this->weight,
                    this->distance, this->suspected);
  }
};

// Limits of the selection.
struct SelectionPolicy {
  // Utilisation that a backend server may have and still be selected by
  // affinity, relative to the mean of its tier.
  double affinity_load_bound = 1.25;
  // Mean utilisation of a tier from which on attempts spill over to the next
  // distance.
  double spill_utilisation = 0.9;
  // If a larger fraction than this is suspected, the suspicion is ignored: the
  // cause is then more likely this node or a shared dependency, and the pool
  // must not become empty.
  double max_suspected_fraction = 0.5;

  auto Tie() const {
    return std::tie(this->affinity_load_bound, this->spill_utilisation,
                    this->max_suspected_fraction);
  }
};

// Hash of the prefix of a prompt; prompts with the same prefix have the same
// key. Zero for an empty prompt. Thread safe.
std::uint64_t AffinityKey(const std::string& prompt);

// Streams of the candidate including the new attempt, relative to the weighted
// capacity. Thread safe.
double Utilisation(const Candidate& candidate);

// Selects a candidate; none if there are no candidates. With a non-zero
// `affinity_key`, selects the highest rendezvous score within the load bound;
// otherwise the less utilised of two candidates that `random` determines. Pure
// and deterministic.
std::optional<std::size_t> SelectBackend(
    const std::vector<Candidate>& candidates,
    std::uint64_t affinity_key,
    const SelectionPolicy& policy,
    std::uint64_t random);

}  // namespace kumquatcart

#endif  // ROUTING_BACKEND_SELECTOR_H_
