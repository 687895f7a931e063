// Authentication and encryption of one connection between entry VMs.
#ifndef PEERS_SECURE_CHANNEL_H_
#define PEERS_SECURE_CHANNEL_H_

#include <cstdint>
#include <string>

#include "base/outcome.h"

namespace kumquatcart {

// Which side of the connection this process is.
enum class ChannelRole { kInitiator, kAcceptor };

// Seals and opens the frames of one connection. Each side sends a greeting with
// a fresh nonce; HKDF-SHA256 over the shared key and both nonces gives one
// AES-256-GCM key per direction, so that a frame that opens proves that its
// sender holds the shared key and meant it for this connection, this direction
// and this place in the sequence. Does no I/O. Not thread safe.
class SecureChannel {
 public:
  // Precondition: `shared_key` has kPeerKeyMinBytes bytes at least and `nonce`
  // is fresh random, kPeerNonceBytes long.
  SecureChannel(std::string shared_key, ChannelRole role, std::string nonce);

  // The first frame to send, in the clear.
  std::string Greeting() const;

  // Takes the other side's greeting. Errors: kInvalidArgument when it is
  // malformed, of another version, or a second one.
  Status AcceptGreeting(const std::string& frame);

  // True when frames can be sealed and opened.
  bool IsEstablished() const { return !this->send_key.empty(); }

  // Precondition: established.
  Result<std::string> Seal(const std::string& message);

  // Errors: kInvalidArgument for a malformed frame, kConflict for one out of
  // sequence (replayed or dropped), kPermissionDenied when it was not sealed
  // with this connection's key. Precondition: established.
  Result<std::string> Open(const std::string& frame);

 private:
  std::string shared_key;
  ChannelRole role;
  std::string nonce;
  std::string send_key;
  std::string receive_key;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

// Cryptographically random bytes. Thread safe.
std::string RandomBytes(std::size_t count);

}  // namespace kumquatcart

#endif  // PEERS_SECURE_CHANNEL_H_
