#include "peers/digest_exchange.h"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "base/logging.h"
#include "model/socket_address.h"
#include "net/failure_boundary.h"

namespace kumquatcart {

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
      const MonotonicTime now = this->loop->Now();
      this->SendRound(this->schedule.TakeDue(now), now);
      this->loop->Sleep(
          this->schedule.Interval(DigestAudience::kOwnDomain, now), yield);
    }
  });
  return Ok();
}

std::string DigestExchange::Encode(NodeDigest digest,
                                   DigestAudience audience,
                                   MonotonicTime now) const {
  digest.interval_ms =
      static_cast<int>(ToMillis(this->schedule.Interval(audience, now)));
  KeepLoadsFor(audience, &digest);
  return EncodeDigest(digest);
}

void DigestExchange::SendSoon(bool to_all) {
  const MonotonicTime next =
      this->change_sent_at + this->schedule.MinChangeInterval();
  const MonotonicTime now = this->loop->Now();
  if (next <= now) {
    this->change_sent_at = now;
    this->SendRound(this->schedule.TakeForChange(to_all, now), now);
    return;
  }
  this->scheduled_to_all = this->scheduled_to_all || to_all;
  if (this->change_scheduled) {
    return;
  }
  this->change_scheduled = true;
  this->loop->Spawn([this, next](Coroutine yield) {
    this->loop->Sleep(next - this->loop->Now(), yield);
    this->change_scheduled = false;
    this->SendSoon(std::exchange(this->scheduled_to_all, false));
  });
}

void DigestExchange::SendRound(const std::vector<DigestTarget>& targets,
                               MonotonicTime now) {
  if (targets.empty()) {
    return;
  }
  const NodeDigest digest = this->compose();
  std::map<DigestAudience, std::string> encoded;
  for (const DigestTarget& target : targets) {
    std::string& bytes = encoded[target.audience];
    if (bytes.empty()) {
      bytes = this->Encode(digest, target.audience, now);
    }
    this->Send(bytes, *target.peer);
  }
}

void DigestExchange::Send(const std::string& bytes, const PeerState& peer) {
  boost::system::error_code ignored;  // The next digest replaces a lost one.
  this->socket.send_to(boost::asio::buffer(bytes), ToUdpEndpoint(peer.endpoint),
                       0, ignored);
}

void DigestExchange::SendDigestTo(const PeerState& peer) {
  const MonotonicTime now = this->loop->Now();
  const DigestAudience audience =
      this->schedule.AudienceOf(peer.digest.node, peer, now);
  this->Send(this->Encode(this->compose(), audience, now), peer);
}

void DigestExchange::Receive() {
  this->socket.async_receive_from(
      boost::asio::buffer(this->buffer), this->sender,
      [this](const boost::system::error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {  // Other errors: an earlier datagram met a closed port.
          ContainFailure(this->loop, "datagram",
                         [this, size] { this->HandleDatagram(size); });
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
