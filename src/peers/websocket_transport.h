// Transport of frames as binary WebSocket messages.
#ifndef PEERS_WEBSOCKET_TRANSPORT_H_
#define PEERS_WEBSOCKET_TRANSPORT_H_

#include <functional>
#include <memory>
#include <string>

#include "base/metrics.h"
#include "base/outcome.h"
#include "peers/peer_transport.h"

namespace kumquatcart {

// Transport based on websocketpp. Runs on one thread, the one that calls Run.
// Methods are called on that thread unless stated otherwise.
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

  // Accepts connections at a numeric IP address and returns the port; port 0
  // selects a free one. Errors: kUnavailable. Precondition: called before Run.
  Result<std::uint16_t> Listen(const Endpoint& endpoint);

  // Processes events until Stop is called. Called once.
  void Run();

  // Makes Run return. Thread safe.
  void Stop();

  // Runs `work` on the transport's thread; it is dropped once Run has returned.
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
