// Exchange of permit messages over the digest socket.
#ifndef ENTRY_PERMIT_EXCHANGE_H_
#define ENTRY_PERMIT_EXCHANGE_H_

#include <functional>
#include <string>

#include "entry/permit_network.h"
#include "entry/server_limiter.h"
#include "peers/digest_exchange.h"

namespace kumquatcart {

// Connects a ServerLimiter to the event loop and the peers. Used on the event
// loop's thread.
class PermitExchange : public PermitNetwork {
 public:
  // The referents of the pointers must outlive this object. `is_stopping`:
  // whether this process is shutting down.
  PermitExchange(EventLoop* loop,
                 PeerDirectory* peers,
                 DigestExchange* digests,
                 std::function<bool()> is_stopping);

  MonotonicTime Now() const override { return this->loop->Now(); }
  void CallAfter(Duration delay, std::function<void()> callback) override;
  NodeCounts CountNodes() const override;
  std::string FindCoordinator(const std::string& server) const override;
  void Send(const std::string& node, const PermitMessage& message) override;

  // Passes a received permit message to `limiter`. Returns false for a datagram
  // of another kind.
  static bool HandleDatagram(const std::string& bytes, ServerLimiter* limiter);

 private:
  EventLoop* const loop;
  PeerDirectory* const peers;
  DigestExchange* const digests;
  const std::function<bool()> is_stopping;
  const MonotonicTime started_at;
};

}  // namespace kumquatcart

#endif  // ENTRY_PERMIT_EXCHANGE_H_
