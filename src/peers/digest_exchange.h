// Exchange of node digests over UDP.
#ifndef PEERS_DIGEST_EXCHANGE_H_
#define PEERS_DIGEST_EXCHANGE_H_

#include <array>
#include <functional>
#include <string>

#include <boost/asio/ip/udp.hpp>

#include "base/outcome.h"
#include "net/event_loop.h"
#include "peers/peer_directory.h"

namespace kumquatcart {

// Sends the digest of this process to every peer periodically, and immediately
// on SendNow(). Lost datagrams need no retransmission, since each digest holds
// the complete state. Not thread safe: used on the event loop's thread only.
class DigestExchange {
 public:
  using Compose = std::function<NodeDigest()>;
  using Listener = std::function<void(const NodeDigest&)>;
  // Returns whether the datagram was a message of another kind.
  using MessageListener = std::function<bool(const std::string& bytes)>;

  DigestExchange(EventLoop* loop,
                 PeerDirectory* peers,
                 Compose compose,
                 Listener listener)
      : loop(loop),
        peers(peers),
        compose(std::move(compose)),
        listener(std::move(listener)),
        socket(loop->Context()) {}

  // Binds the socket to `listen` and starts sending and receiving. Errors:
  // kUnavailable.
  Status Start(const Endpoint& listen);

  // Sends a digest to all peers immediately, unless the last round was less
  // than 30 ms ago.
  void SendNow();

  // As SendNow(), but sends as soon as that time has passed instead of leaving
  // it to the next round.
  void SendSoon();

  // Passes datagrams to `listener` first. Precondition: called before Start().
  void SetMessageListener(MessageListener listener) {
    this->message_listener = std::move(listener);
  }

  // Sends a message of another kind to a peer, without retransmission.
  void SendMessage(const std::string& bytes, const PeerState& peer) {
    this->Send(bytes, peer);
  }

  // Time between two rounds. It grows with the number of peers, but is bounded
  // for the first nodes of a failure domain, which plan and read for it.
  Duration RoundInterval() const;

  // Sends a digest to one peer immediately.
  void SendDigestTo(const PeerState& peer);

 private:
  void Receive();
  void HandleDatagram(std::size_t size);
  void SendAll(MonotonicTime now);
  void Send(const std::string& bytes, const PeerState& peer);
  std::string Encode() const;

  EventLoop* const loop;
  PeerDirectory* const peers;
  const Compose compose;
  const Listener listener;
  MessageListener message_listener;
  boost::asio::ip::udp::socket socket;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, 16 * 1024> buffer;
  MonotonicTime round_sent_at;
  bool round_scheduled = false;  // By SendSoon().
};

}  // namespace kumquatcart

#endif  // PEERS_DIGEST_EXCHANGE_H_
