#include "peers/digest_exchange.h"

#include <algorithm>

#include <boost/asio/buffer.hpp>

#include "base/logging.h"
#include "model/socket_address.h"

namespace kumquatcart {

namespace {

// Time between two digests with fewer than kPeersPerInterval peers. It grows by
// as much for each further kPeersPerInterval peers, which bounds the rate at
// which a node receives digests.
constexpr Duration kInterval = std::chrono::milliseconds(150);
constexpr std::size_t kPeersPerInterval = 10;
// Longest time between two digests of the planner candidates of a failure
// domain: the planner and the node that takes over if it fails.
constexpr Duration kPlannerMaxInterval = std::chrono::milliseconds(300);
constexpr int kPlannerCandidates = 2;
// Minimum time between two rounds, regardless of the number of SendNow calls.
constexpr Duration kMinSendInterval = std::chrono::milliseconds(30);
// A peer that has sent no digest for kSilentAfter receives digests only every
// kSilentInterval.
constexpr Duration kSilentAfter = std::chrono::seconds(3);
constexpr Duration kSilentInterval = std::chrono::seconds(1);

}  // namespace

Status DigestExchange::Start(const Endpoint& listen) {
  using boost::asio::ip::udp;
  boost::system::error_code error;
  const udp::endpoint local = ToUdpEndpoint(listen);
  this->socket.open(udp::v4(), error);
  if (!error) {
    this->socket.bind(local, error);
  }
  if (error) {
    return MakeError(
        ErrorCode::kUnavailable,
        "cannot bind " + listen.ToString() + ": " + error.message());
  }
  this->socket.non_blocking(true);
  this->Receive();
  this->loop->Spawn([this](Coroutine yield) {
    for (;;) {
      this->SendAll(this->loop->Now());
      this->loop->Sleep(this->RoundInterval(), yield);
    }
  });
  return Ok();
}

Duration DigestExchange::RoundInterval() const {
  const auto scale =
      static_cast<int>(1 + this->peers->Peers().size() / kPeersPerInterval);
  const bool is_planner_candidate =
      this->peers->CountPrecedingNodes(this->loop->Now()) < kPlannerCandidates;
  return is_planner_candidate ? std::min(kInterval * scale, kPlannerMaxInterval)
                              : kInterval * scale;
}

std::string DigestExchange::Encode() const {
  NodeDigest digest = this->compose();
  digest.interval_ms = static_cast<int>(ToMillis(this->RoundInterval()));
  return EncodeDigest(digest);
}

void DigestExchange::SendNow() {
  const MonotonicTime now = this->loop->Now();
  if (now - this->round_sent_at >= kMinSendInterval) {
    this->SendAll(now);
  }
}

void DigestExchange::SendSoon() {
  const MonotonicTime next = this->round_sent_at + kMinSendInterval;
  const MonotonicTime now = this->loop->Now();
  if (next <= now) {
    this->SendAll(now);
  } else if (!this->round_scheduled) {
    this->round_scheduled = true;
    this->loop->Spawn([this, next](Coroutine yield) {
      this->loop->Sleep(next - this->loop->Now(), yield);
      this->round_scheduled = false;
      this->SendNow();
    });
  }
}

void DigestExchange::SendAll(MonotonicTime now) {
  this->round_sent_at = now;
  std::string bytes;
  for (auto& entry : this->peers->Peers()) {
    PeerState& peer = entry.second;
    if (!peer.HasDigestSince(now - kSilentAfter) &&
        now - peer.digest_sent_at < kSilentInterval) {
      continue;
    }
    peer.digest_sent_at = now;
    if (bytes.empty()) {
      bytes = this->Encode();
    }
    this->Send(bytes, peer);
  }
}

void DigestExchange::Send(const std::string& bytes, const PeerState& peer) {
  boost::system::error_code ignored;  // The next digest replaces a lost one.
  this->socket.send_to(boost::asio::buffer(bytes), ToUdpEndpoint(peer.endpoint),
                       0, ignored);
}

void DigestExchange::SendDigestTo(const PeerState& peer) {
  this->Send(this->Encode(), peer);
}

void DigestExchange::Receive() {
  this->socket.async_receive_from(
      boost::asio::buffer(this->buffer), this->sender,
      [this](const boost::system::error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {  // Other errors: an earlier datagram met a closed port.
          this->HandleDatagram(size);
        }
        this->Receive();
      });
}

void DigestExchange::HandleDatagram(std::size_t size) {
  const std::string bytes(this->buffer.data(), size);
  if (this->message_listener && this->message_listener(bytes)) {
    return;
  }
  const Result<NodeDigest> digest = DecodeDigest(bytes);
  if (digest.has_error()) {
    LogWarning("digest_ignored", {{"from", this->sender.address().to_string()},
                                  {"reason", digest.error().message}});
    return;
  }
  if (this->peers->AcceptDigest(digest.value(), this->loop->Now())) {
    this->listener(digest.value());
  }
}

}  // namespace kumquatcart
