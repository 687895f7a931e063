// HTTP services of the process itself, such as readiness and metrics.
#ifndef ENTRY_SIMPLE_HTTP_SERVER_H_
#define ENTRY_SIMPLE_HTTP_SERVER_H_

#include <functional>
#include <string>

#include "base/outcome.h"
#include "entry/request_reader.h"
#include "net/event_loop.h"
#include "net/http_head.h"

namespace kumquatcart {

struct SimpleHttpResponse {
  int status = 0;
  std::string body;
  HeaderList headers = {};
};

// Calls `accept` with each connection accepted on `listen`. Must be used on the
// event loop's thread.
class TcpListener {
 public:
  using Accept = std::function<void(boost::asio::ip::tcp::socket)>;

  TcpListener(EventLoop* loop, Accept accept);

  // Errors: kUnavailable when the address cannot be bound.
  Status Start(const TcpEndpoint& listen);

  // Accepts the connections that are established already, then closes the
  // listening socket. Accepted connections stay open.
  void Stop();

  // Leaves further connections in the kernel's backlog until Resume. Does
  // nothing after Stop.
  void Pause() { this->paused = true; }
  void Resume();

 private:
  void AcceptNext();
  void AcceptBacklog();
  void HandleAccepted(boost::asio::ip::tcp::socket socket);

  EventLoop* const loop;
  const Accept accept;
  boost::asio::ip::tcp::acceptor acceptor;
  bool stopped = false;
  bool paused = false;
  bool accepting = false;
};

// Answers each request on `listen` with the result of `handle`. Must be used on
// the event loop's thread.
class SimpleHttpServer {
 public:
  using Handler =
      std::function<SimpleHttpResponse(const ParsedRequest&, Coroutine)>;

  SimpleHttpServer(EventLoop* loop, Handler handle);

  // Errors: kUnavailable when the address cannot be bound.
  Status Start(const TcpEndpoint& listen) {
    return this->listener.Start(listen);
  }

 private:
  void Serve(boost::asio::ip::tcp::socket socket);
  // Answers requests until the connection must be closed.
  void ServeRequests(TcpConnection* connection,
                     Waiter* waiter,
                     Coroutine yield);

  EventLoop* const loop;
  const Handler handle;
  TcpListener listener;
};

}  // namespace kumquatcart

#endif  // ENTRY_SIMPLE_HTTP_SERVER_H_
