// Exchange of node digests over UDP.
#ifndef PEERS_DIGEST_EXCHANGE_H_
#define PEERS_DIGEST_EXCHANGE_H_

#include <array>
#include <functional>
#include <string>

#include <boost/asio/ip/udp.hpp>

#include "base/outcome.h"
#include "net/event_loop.h"
#include "peers/digest_schedule.h"
#include "peers/peer_directory.h"

namespace kumquatcart {

// Sends the digest of this process to every peer periodically, and when its
// state changes. Lost datagrams need no retransmission, since each digest holds
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
        schedule(peers),
        peers(peers),
        compose(std::move(compose)),
        listener(std::move(listener)),
        socket(loop->Context()) {}

  // Binds the socket to `listen` and starts sending and receiving. Errors:
  // kUnavailable.
  Status Start(const Endpoint& listen);

  // Sends a digest after a change of this node's state, immediately or as soon
  // as the minimum time since the last such round has passed. It goes to all
  // peers if this node announces changes for its failure domain, and otherwise
  // only to the collectors.
  void SendChange() { this->SendSoon(/*to_all=*/false); }

  // As SendChange(), but to all peers.
  void SendToAll() { this->SendSoon(/*to_all=*/true); }

  // Passes datagrams to `listener` first. Precondition: called before Start().
  void SetMessageListener(MessageListener listener) {
    this->message_listener = std::move(listener);
  }

  // Sends a message of another kind to a peer, without retransmission.
  void SendMessage(const std::string& bytes, const PeerState& peer) {
    this->Send(bytes, peer);
  }

  // Sends a digest to one peer immediately.
  void SendDigestTo(const PeerState& peer);

  const DigestSchedule& Schedule() const { return this->schedule; }

 private:
  void Receive();
  void HandleDatagram(std::size_t size);
  void SendSoon(bool to_all);
  void SendRound(const std::vector<DigestTarget>& targets, MonotonicTime now);
  void Send(const std::string& bytes, const PeerState& peer);
  // The part of `digest` that an audience needs.
  std::string Encode(NodeDigest digest,
                     DigestAudience audience,
                     MonotonicTime now) const;

  EventLoop* const loop;
  DigestSchedule schedule;
  PeerDirectory* const peers;
  const Compose compose;
  const Listener listener;
  MessageListener message_listener;
  boost::asio::ip::udp::socket socket;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, 64 * 1024> buffer;  // The largest datagram.
  MonotonicTime change_sent_at;
  bool change_scheduled = false;
  bool scheduled_to_all = false;  // Whether the scheduled round goes to all.
};

}  // namespace kumquatcart

#endif  // PEERS_DIGEST_EXCHANGE_H_
