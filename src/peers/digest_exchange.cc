#include "peers/digest_exchange.h"

#include <algorithm>

#include <boost/asio/buffer.hpp>

#include "base/logging.h"
#include "model/socket_address.h"

namespace kumquatcart {

namespace {

// Time between two digests at up to kFullRatePeers peers; it grows with their
// number beyond, so that the cost of receiving stays the same.
constexpr Duration kInterval = std::chrono::milliseconds(150);
constexpr std::size_t kFullRatePeers = 10;
// Longest time between two digests of the nodes that read the store.
constexpr Duration kReadersInterval = std::chrono::milliseconds(300);
// Least time between two rounds, however often news come.
constexpr Duration kShortestInterval = std::chrono::milliseconds(30);
// A peer not heard for this long gets digests at the slow rate only.
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
      this->loop->Sleep(this->Interval(), yield);
    }
  });
  return Ok();
}

Duration DigestExchange::Interval() const {
  const auto scale =
      static_cast<int>(1 + this->peers->Peers().size() / kFullRatePeers);
  const bool reads_store =
      this->peers->NodesBefore(this->loop->Now()) < kStoreReaders;
  return reads_store ? std::min(kInterval * scale, kReadersInterval)
                     : kInterval * scale;
}

std::string DigestExchange::Encode() const {
  NodeDigest digest = this->compose();
  digest.interval_ms = static_cast<int>(ToMillis(this->Interval()));
  return EncodeDigest(digest);
}

void DigestExchange::Hurry() {
  const MonotonicTime now = this->loop->Now();
  if (now - this->sent_at >= kShortestInterval) {
    this->SendAll(now);
  }
}

void DigestExchange::SendAll(MonotonicTime now) {
  this->sent_at = now;
  std::string bytes;
  for (auto& entry : this->peers->Peers()) {
    PeerState& peer = entry.second;
    if (!peer.IsHeardSince(now - kSilentAfter) &&
        now - peer.sent_at < kSilentInterval) {
      continue;
    }
    peer.sent_at = now;
    if (bytes.empty()) {
      bytes = this->Encode();
    }
    this->Send(bytes, peer);
  }
}

void DigestExchange::Send(const std::string& bytes, const PeerState& peer) {
  boost::system::error_code ignored;  // A lost digest is followed by others.
  this->socket.send_to(boost::asio::buffer(bytes), ToUdpEndpoint(peer.endpoint),
                       0, ignored);
}

void DigestExchange::Tell(const PeerState& peer) {
  this->Send(this->Encode(), peer);
}

void DigestExchange::Receive() {
  this->socket.async_receive_from(
      boost::asio::buffer(this->buffer), this->sender,
      [this](const boost::system::error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {  // Others tell that an earlier datagram found no port.
          this->HandleDatagram(size);
        }
        this->Receive();
      });
}

void DigestExchange::HandleDatagram(std::size_t size) {
  const Result<NodeDigest> digest =
      DecodeDigest(std::string(this->buffer.data(), size));
  if (digest.has_error()) {
    LogWarning("digest_ignored", {{"from", this->sender.address().to_string()},
                                  {"reason", digest.error().message}});
    return;
  }
  if (this->peers->Hear(digest.value(), this->loop->Now())) {
    this->listener(digest.value());
  }
}

}  // namespace kumquatcart
