// A TCP server whose connections are driven byte by byte by a test.
#ifndef FAKES_RAW_SERVER_H_
#define FAKES_RAW_SERVER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>

#include "model/vm.h"

namespace kumquatcart {

// One connection. Every method blocks; not thread safe.
class RawConnection {
 public:
  explicit RawConnection(boost::asio::ip::tcp::socket socket);

  // Connects to a server on loopback.
  static std::unique_ptr<RawConnection> Connect(std::uint16_t port);

  // Reads a whole request or answer with Content-Length or without a body.
  // Returns an empty string when the other side closed before one began.
  std::string ReadMessage();

  // Reads up to and with `text`; returns what came before the close if it never
  // comes.
  std::string ReadUntil(const std::string& text);

  // Reads until the other side closes.
  std::string ReadToEnd();

  // Returns false when the other side is gone.
  bool Write(const std::string& bytes);

  // Closes the connection. With `reset`, by a RST.
  void Close(bool reset = false);

  // Bounds the kernel's buffers, so that an unread stream fills up soon.
  void ShrinkBuffers();

  // Makes every blocked call return. May be called from any thread.
  void Interrupt();

 private:
  boost::asio::ip::tcp::socket socket;
  std::string received;
};

// Accepts connections on an ephemeral port of loopback and serves each by
// `serve` on a thread of its own. The destructor breaks off connections still
// open and waits for their threads.
class RawServer {
 public:
  using Serve = std::function<void(RawConnection* connection, int number)>;

  // Shared by the server's connections; the first has number 1.
  explicit RawServer(Serve serve);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  // Breaks off open connections and waits for their threads. Idempotent.
  void Stop();

  Endpoint Address() const;

  // Connections accepted so far.
  int Connections() const { return this->connections; }

 private:
  void Accept();

  Serve serve;
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;
  std::atomic<int> connections{0};
  std::atomic<bool> stopping{false};
  std::vector<std::unique_ptr<RawConnection>> accepted;
  std::vector<std::thread> threads;
  std::thread accept_thread;
};

// An endpoint that refuses connections, for as long as it lives.
class RefusingEndpoint {
 public:
  RefusingEndpoint();

  Endpoint Address() const;

 private:
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor bound;  // Never listens.
};

// A port of loopback that was free a moment ago.
std::uint16_t PickFreePort();

}  // namespace kumquatcart

#endif  // FAKES_RAW_SERVER_H_
