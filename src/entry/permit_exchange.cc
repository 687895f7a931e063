#include "entry/permit_exchange.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "base/logging.h"
#include "entry/datagram_dispatch.h"

namespace kumquatcart {

namespace {

// Nodes without a digest for this time are gone rather than cut off.
constexpr Duration kNodeMemory = std::chrono::seconds(60);

}  // namespace

PermitExchange::PermitExchange(EventLoop* loop,
                               PeerDirectory* peers,
                               DigestExchange* digests,
                               std::function<bool()> is_stopping)
    : loop(loop),
      peers(peers),
      digests(digests),
      is_stopping(std::move(is_stopping)),
      started_at(loop->Now()) {}

void PermitExchange::CallAfter(Duration delay, std::function<void()> callback) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(this->loop->Context(), delay);
  timer->async_wait([timer, callback = std::move(callback)](
                        const boost::system::error_code& error) {
    if (!error) {
      callback();
    }
  });
}

NodeCounts PermitExchange::CountNodes() const {
  const MonotonicTime now = this->loop->Now();
  NodeCounts counts;
  counts.live = this->peers->CountLiveNodes(now);
  counts.recent =
      std::max(counts.live,
               this->peers->CountNodesSince(
                   now - kNodeMemory,
                   /*include_silent=*/now - this->started_at < kNodeMemory));
  return counts;
}

std::string PermitExchange::FindCoordinator(const std::string& server) const {
  return this->peers->FindCoordinator(server, this->is_stopping(),
                                      this->loop->Now());
}

void PermitExchange::Send(const std::string& node,
                          const PermitMessage& message) {
  const auto peer = this->peers->Peers().find(node);
  if (peer == this->peers->Peers().end()) {
    LogWarning("permit_message_dropped", {{"peer", node}});
    return;
  }
  this->digests->SendMessage(EncodePermitMessage(message), peer->second);
}

bool PermitExchange::HandleDatagram(const std::string& bytes,
                                    ServerLimiter* limiter) {
  return DispatchDatagram(DecodePermitMessage(bytes), "permit_message_ignored",
                          [limiter](const PermitMessage& message) {
                            limiter->HandleMessage(message);
                          });
}

}  // namespace kumquatcart
