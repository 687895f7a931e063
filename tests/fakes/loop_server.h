// A TCP server on the event loop that a test scripts, and helpers to run
// coroutines to their end.
#ifndef FAKES_LOOP_SERVER_H_
#define FAKES_LOOP_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fakes/loopback_acceptor.h"
#include "net/event_loop.h"
#include "net/tcp_connection.h"

namespace kumquatcart {

// Runs `body` as a coroutine and the loop until it has ended.
inline void RunCoroutine(EventLoop* loop, std::function<void(Coroutine)> body) {
  loop->Spawn([loop, body = std::move(body)](Coroutine yield) {
    body(yield);
    loop->Stop();
  });
  loop->Run();
  loop->Context().restart();
}

// Bound on a wait in tests whose other side answers at once.
inline MonotonicTime TestDeadline(EventLoop* loop) {
  return loop->Now() + std::chrono::seconds(10);
}

// Calls `script` with each connection, in a coroutine of its own. Listens on
// a free port of loopback.
class LoopServer {
 public:
  using Script = std::function<
      void(const std::shared_ptr<TcpConnection>&, Waiter*, Coroutine)>;

  LoopServer(EventLoop* loop, Script script)
      : loop(loop),
        script(std::move(script)),
        acceptor(ListenOnFreePort(&loop->Context())),
        address(this->acceptor.local_endpoint()) {
    // Its connections, which inherit this, don't keep it from listening again.
    this->acceptor.set_option(
        boost::asio::ip::tcp::acceptor::reuse_address(true));
    this->AcceptNext();
  }

  TcpEndpoint Address() const { return this->address; }

  // Refuses connections for `duration`, as the VM of a process that has ended.
  void RefuseFor(Duration duration) {
    this->acceptor.close();
    this->loop->Spawn([this, duration](Coroutine yield) {
      this->loop->Sleep(duration, yield);
      this->acceptor.open(this->address.protocol());
      this->acceptor.set_option(
          boost::asio::ip::tcp::acceptor::reuse_address(true));
      this->acceptor.bind(this->address);
      this->acceptor.listen();
      this->AcceptNext();
    });
  }
  int Connections() const { return this->connections; }

 private:
  void AcceptNext() {
    this->acceptor.async_accept([this](const boost::system::error_code& error,
                                       boost::asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      ++this->connections;
      const auto connection =
          TcpConnection::Adopt(this->loop, std::move(socket));
      this->loop->Spawn([this, connection](Coroutine yield) {
        Waiter waiter(this->loop);
        connection->SetWaiter(&waiter);
        this->script(connection, &waiter, yield);
        connection->SetWaiter(nullptr);
      });
      this->AcceptNext();
    });
  }

  EventLoop* const loop;
  const Script script;
  boost::asio::ip::tcp::acceptor acceptor;
  const TcpEndpoint address;
  int connections = 0;
};

// Waits until the input holds an empty line, which ends a request's head.
inline std::string ReadHead(TcpConnection* connection,
                            Waiter* waiter,
                            Coroutine yield) {
  while (connection->Input().find("\r\n\r\n") == std::string_view::npos &&
         !connection->HasEnded()) {
    waiter->WaitUntil(MonotonicTime::max(), yield);
  }
  std::string head(connection->Input());
  connection->Consume(head.size());
  return head;
}

}  // namespace kumquatcart

#endif  // FAKES_LOOP_SERVER_H_
