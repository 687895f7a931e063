// Sends and receives digests as datagrams.
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

// Tells every peer this process's state at a steady rate, and at once after
// Hurry. Lost datagrams do no harm: the next one holds everything. For the
// event loop's thread.
class DigestExchange {
 public:
  using Compose = std::function<NodeDigest()>;
  using Listener = std::function<void(const NodeDigest&)>;

  DigestExchange(EventLoop* loop,
                 PeerDirectory* peers,
                 Compose compose,
                 Listener listener)
      : loop(loop),
        peers(peers),
        compose(std::move(compose)),
        listener(std::move(listener)),
        socket(loop->Context()) {}

  // Binds and starts. Errors: kUnavailable.
  Status Start(const Endpoint& listen);

  // Sends to all at once, unless that was done just now.
  void Hurry();

  // Time between two rounds. The first nodes of a failure domain, which plan
  // and read for it, never speak seldom.
  Duration Interval() const;

  // Sends to one peer at once.
  void Tell(const PeerState& peer);

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
  boost::asio::ip::udp::socket socket;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, 16 * 1024> buffer;
  MonotonicTime sent_at;
};

}  // namespace kumquatcart

#endif  // PEERS_DIGEST_EXCHANGE_H_
