// Fixed sizes and limits of the protocol between entry VMs.
#ifndef PEERS_PEER_CONSTANTS_H_
#define PEERS_PEER_CONSTANTS_H_

#include <cstddef>
#include <cstdint>

namespace kumquatcart {

// Version of the frames and messages; peers of another version are refused.
constexpr std::uint8_t kPeerProtocolVersion = 1;

// Bytes of the random nonce that each side adds to the connection's keys.
constexpr std::size_t kPeerNonceBytes = 32;

// Bytes of the shared key at least.
constexpr std::size_t kPeerKeyMinBytes = 32;

// Largest frame that is read, in bytes.
constexpr std::size_t kPeerMaxFrameBytes = 1024 * 1024;

// Largest delta of a topic in one message, in bytes.
constexpr std::size_t kPeerMaxDeltaBytes = 64 * 1024;

// Arrays and maps inside one another in a message at most.
constexpr std::size_t kPeerMaxNesting = 32;

// Member updates in one message at most.
constexpr std::size_t kPeerMaxMemberUpdates = 4096;

}  // namespace kumquatcart

#endif  // PEERS_PEER_CONSTANTS_H_
