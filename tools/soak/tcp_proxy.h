// A loopback proxy that harms the connections that pass through it.
#ifndef SOAK_TCP_PROXY_H_
#define SOAK_TCP_PROXY_H_

#include <optional>
#include <random>
#include <set>

#include "entry/simple_http_server.h"

namespace kumquatcart::soak {

enum class LinkState {
  kSound,
  kDelayed,     // Each piece waits before it goes on.
  kRefused,     // New connections end at once; old ones are cut.
  kSilent,      // Nothing passes, either way; connections stay.
  kSilentBack,  // Nothing passes from the target back.
  kSlow,        // Each answer is late by 0.3 to 0.9 s, in however many pieces.
  kSilentOpen,  // Nothing passes for good on the connections that are open when
                // it begins; those that come later are sound.
  kSilentRefused,  // The same, but those that come later end at once.
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

  void SetState(LinkState next);

  // Since when the link has been sound for new connections; none while it is
  // harmed.
  std::optional<MonotonicTime> SoundSince() const {
    return IsSoundForNew(this->state) ? std::optional(this->changed_at)
                                      : std::nullopt;
  }

  // Cuts all connections but those that are silent for good; later ones go to
  // `next`.
  void SetTarget(const TcpEndpoint& next);

 private:
  using ConnectionRef = std::shared_ptr<TcpConnection>;

  static bool IsSoundForNew(LinkState state) {
    return state == LinkState::kSound || state == LinkState::kSilentOpen;
  }

  // Whether the connections that are open when it begins are silent for good.
  static bool SilencesOpen(LinkState state) {
    return state == LinkState::kSilentOpen ||
           state == LinkState::kSilentRefused;
  }

  void Accept(boost::asio::ip::tcp::socket socket);
  void Relay(const ConnectionRef& near, Coroutine yield);
  // Passes what has arrived from `from` to `to`. Returns whether it was
  // anything.
  bool Pass(TcpConnection* from, TcpConnection* to, Coroutine yield);
  // Passes what has arrived on either side, as the state says. `is_asked`:
  // whether an answer has not begun yet.
  void PassBoth(TcpConnection* near,
                TcpConnection* far,
                bool* is_asked,
                Coroutine yield);

  EventLoop* const loop;
  TcpEndpoint target;
  int targets = 0;  // How often the target has changed.
  TcpListener listener;
  int open_silences = 0;  // How often open connections have been silenced.
  std::minstd_rand answer_delays;
  LinkState state = LinkState::kSound;
  MonotonicTime changed_at;  // Of the state.
};

}  // namespace kumquatcart::soak

#endif  // SOAK_TCP_PROXY_H_
