// Rendezvous hashing: a stable pseudo-random ranking of candidates per subject.
#ifndef PEERS_RENDEZVOUS_H_
#define PEERS_RENDEZVOUS_H_

#include <cstdint>
#include <string>

namespace kumquatcart {

// Returns a hash of `text` that is the same in every process. Thread safe.
std::uint64_t StableHash(const std::string& text);

// Returns the score of a candidate for a subject; the candidate with the
// highest score is chosen first. Thread safe.
std::uint64_t RendezvousScore(std::uint64_t subject, std::uint64_t candidate);

}  // namespace kumquatcart

#endif  // PEERS_RENDEZVOUS_H_
