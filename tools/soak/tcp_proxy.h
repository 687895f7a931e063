// A loopback proxy that harms the connections that pass through it.
#ifndef SOAK_TCP_PROXY_H_
#define SOAK_TCP_PROXY_H_

#include <optional>
#include <set>

#include "entry/simple_http_server.h"

namespace kumquatcart::soak {

enum class LinkState {
  kSound,
  kDelayed,     // Each piece waits before it goes on.
  kRefused,     // New connections end at once; old ones are cut.
  kSilent,      // Nothing passes, either way; connections stay.
  kSilentBack,  // Nothing passes from the target back.
};

// Lower-case name for logs. Thread safe.
const char* ToString(LinkState state);

// For the event loop's thread.
class TcpProxy {
 public:
  TcpProxy(EventLoop* loop, TcpEndpoint target);

  // Errors: kUnavailable.
  Status Start(const TcpEndpoint& listen) {
    return this->listener.Start(listen);
  }

  void SetState(LinkState next) {
    this->state = next;
    this->changed_at = this->loop->Now();
  }

  // Since when the link has been sound; none while it is harmed.
  std::optional<MonotonicTime> SoundSince() const {
    return this->state == LinkState::kSound ? std::optional(this->changed_at)
                                            : std::nullopt;
  }

  // Cuts all connections; later ones go to `next`.
  void SetTarget(const TcpEndpoint& next);

 private:
  using ConnectionRef = std::shared_ptr<TcpConnection>;

  void Accept(boost::asio::ip::tcp::socket socket);
  void Relay(const ConnectionRef& near, Coroutine yield);
  // Passes what has arrived from `from` to `to`.
  void Pass(TcpConnection* from, TcpConnection* to, Coroutine yield);

  EventLoop* const loop;
  TcpEndpoint target;
  int targets = 0;  // How often the target has changed.
  TcpListener listener;
  LinkState state = LinkState::kSound;
  MonotonicTime changed_at;  // Of the state.
};

}  // namespace kumquatcart::soak

#endif  // SOAK_TCP_PROXY_H_
