// Fixed sizes and limits of the protocol between entry VMs.
#ifndef PEERS_PEER_CONSTANTS_H_
#define PEERS_PEER_CONSTANTS_H_

#include <cstddef>
#include <cstdint>

namespace kumquatcart {

// Version of the frames and messages; peers with another version are rejected.
constexpr std::uint8_t kPeerProtocolVersion = 1;

// Size in bytes of the random nonce that each side contributes to the session
// keys.
constexpr std::size_t kPeerNonceBytes = 32;

// Minimum size of the shared key, in bytes.
constexpr std::size_t kPeerKeyMinBytes = 32;

// Maximum size of a received frame, in bytes.
constexpr std::size_t kPeerMaxFrameBytes = 1024 * 1024;

// Maximum size of a topic delta in one message, in bytes.
constexpr std::size_t kPeerMaxDeltaBytes = 64 * 1024;

// Maximum number of member updates in one message.
constexpr std::size_t kPeerMaxMemberUpdates = 4096;

}  // namespace kumquatcart

#endif  // PEERS_PEER_CONSTANTS_H_
