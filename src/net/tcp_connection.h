// A TCP connection that reads ahead and queues what is sent.
#ifndef NET_TCP_CONNECTION_H_
#define NET_TCP_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "net/event_loop.h"
#include "net/waiter.h"

namespace kumquatcart {

// Reads as bytes arrive, so that the other side's close is seen while its owner
// waits for something else, and writes in the background. The owner attaches a
// Waiter, which is notified of input, of the end and of drained output.
// For the event loop's thread.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  explicit TcpConnection(EventLoop* loop);
  ~TcpConnection();

  // Wraps an accepted socket and starts to read.
  static std::shared_ptr<TcpConnection> Adopt(
      EventLoop* loop,
      boost::asio::ip::tcp::socket socket);

  // Connects and starts to read. False when it fails or `deadline` passes.
  // Precondition: `waiter` is the calling coroutine's.
  bool Connect(const TcpEndpoint& endpoint,
               MonotonicTime deadline,
               Waiter* waiter,
               Coroutine yield);

  // Notifies `waiter` from now on; null detaches. Precondition: the waiter
  // outlives its attachment.
  void Attach(Waiter* waiter) { this->waiter = waiter; }

  // Bytes received and not consumed.
  std::string_view Input() const {
    return std::string_view(this->input).substr(this->consumed);
  }
  void Consume(std::size_t count);

  // Whether no more input will come, by the other side's close or an error.
  bool HasEnded() const { return this->ended; }

  // Whether it ended by an error, not by an orderly close.
  bool HasFailed() const { return this->failed; }

  // Queues bytes.
  void Send(std::string bytes);

  // Bytes queued and not yet with the kernel.
  std::size_t Unsent() const { return this->unsent; }

  // Whether any byte was handed to the kernel.
  bool HasSentAny() const { return this->sent_any; }

  // Closes at once, without regard to unsent bytes.
  void Close();

  // Ends the sending side after all queued bytes; reading goes on.
  void FinishSending();

  // Last time that input arrived or that the connection was made.
  MonotonicTime LastInput() const { return this->last_input; }

  // When the connection went into a pool; the pool's own mark.
  MonotonicTime idle_since;
  // How long it may stay idle.
  Duration idle_limit{0};

 private:
  void Start();
  void WaitForInput();
  void ReadInput();
  void WriteNext();
  void End(bool by_error);
  void NotifyOwner();

  EventLoop* const loop;
  boost::asio::ip::tcp::socket socket;
  Waiter* waiter = nullptr;
  std::string input;
  std::size_t consumed = 0;
  std::string writing;
  std::string queued;
  std::size_t unsent = 0;
  bool reading = false;
  bool write_in_progress = false;
  bool finish_after_writes = false;
  bool ended = false;
  bool failed = false;
  bool closed = false;
  bool sent_any = false;
  MonotonicTime last_input;
};

}  // namespace kumquatcart

#endif  // NET_TCP_CONNECTION_H_
