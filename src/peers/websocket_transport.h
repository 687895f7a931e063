// Frames between entry VMs as binary WebSocket messages.
#ifndef PEERS_WEBSOCKET_TRANSPORT_H_
#define PEERS_WEBSOCKET_TRANSPORT_H_

#include <functional>
#include <memory>
#include <string>

#include "base/metrics.h"
#include "base/outcome.h"
#include "peers/peer_transport.h"

namespace kumquatcart {

// Listens, connects and carries frames by websocketpp on one thread, the one
// that calls Run. Unless said otherwise, methods are called on that thread.
class WebsocketTransport : public PeerTransport {
 public:
  struct Events {
    std::function<void(LinkId link, bool initiated)> on_open;
    std::function<void(LinkId link)> on_closed;
    std::function<void(LinkId link, const std::string& frame)> on_frame;
  };

  // Precondition: `metrics` outlives the transport.
  explicit WebsocketTransport(MetricRegistry* metrics);
  ~WebsocketTransport() override;

  // Precondition: called before Run.
  void SetEvents(Events events);

  // Begins to accept connections at a numeric IP address; port 0 takes a free
  // one. Returns the port. Errors: kUnavailable. Precondition: called before
  // Run.
  Result<std::uint16_t> Listen(const Endpoint& endpoint);

  // Handles events until Stop. Called once.
  void Run();

  // Makes Run return. Thread safe.
  void Stop();

  // Runs `work` on the transport's thread; dropped when Run has returned.
  // Thread safe.
  void Post(std::function<void()> work);

  LinkId Connect(const Endpoint& endpoint) override;
  void Send(LinkId link, const std::string& frame) override;
  void Close(LinkId link) override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace kumquatcart

#endif  // PEERS_WEBSOCKET_TRANSPORT_H_
