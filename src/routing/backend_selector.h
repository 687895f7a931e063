// Choice among the backend servers of one service, as a pure function.
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

// How far a backend server is from this node.
enum class Distance { kSameFailureDomain, kSameRegion, kOtherRegion };

// One backend server that could take the attempt.
struct Candidate {
  BackendId id;
  double load = 0;      // Estimated streams there now.
  double capacity = 1;  // Streams it can run at once; above zero.
  double weight = 1;    // Part of the capacity to use, above 0 up to 1.
  Distance distance = Distance::kSameFailureDomain;
  bool suspected = false;  // Circuit open or ejected as an outlier.

  auto Tie() const {
    return std::tie(this->id, this->load, this->capacity, this->weight,
                    this->distance, this->suspected);
  }
};

// Limits of the choice.
struct SelectionPolicy {
  // An affine backend server may be this much busier than the mean of its tier.
  double affinity_load_bound = 1.25;
  // Mean utilisation at which attempts spill from one distance to the next.
  double spill_utilisation = 0.9;
  // When a larger part than this is suspected, suspicion is ignored: the cause
  // is then more likely here or common to all, and the pool must not be
  // emptied.
  double max_suspected_fraction = 0.5;

  auto Tie() const {
    return std::tie(this->affinity_load_bound, this->spill_utilisation,
                    this->max_suspected_fraction);
  }
};

// Hash of the start of a prompt; prompts that begin alike share it. Zero for an
// empty prompt.
std::uint64_t AffinityKey(const std::string& prompt);

// Streams there once the attempt has joined, relative to what should run there.
double Utilisation(const Candidate& candidate);

// Chooses a candidate, or none when there are none. With an `affinity_key`
// other than zero the highest rendezvous score within the load bound wins; with
// zero the less utilised of two drawn with `random` does. Pure and
// deterministic.
std::optional<std::size_t> SelectBackend(
    const std::vector<Candidate>& candidates,
    std::uint64_t affinity_key,
    const SelectionPolicy& policy,
    std::uint64_t random);

}  // namespace kumquatcart

#endif  // ROUTING_BACKEND_SELECTOR_H_
