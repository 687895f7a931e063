// Asynchronous TCP connection with buffered reads and writes.
#ifndef NET_TCP_CONNECTION_H_
#define NET_TCP_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "net/event_loop.h"
#include "net/memory_budget.h"
#include "net/net_constants.h"
#include "net/waiter.h"

namespace kumquatcart {

// Reads continuously, so that a close by the peer is detected while the owner
// waits for another event, and writes asynchronously. The attached Waiter is
// notified of new input, of the end of input or a failure, and when the send
// buffer is empty. Must be used on the event loop's thread.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  explicit TcpConnection(EventLoop* loop);
  ~TcpConnection();

  // Takes over an accepted socket and starts reading.
  static std::shared_ptr<TcpConnection> Adopt(
      EventLoop* loop,
      boost::asio::ip::tcp::socket socket);

  // Connects and starts reading. Returns false if the attempt fails or
  // `deadline` passes. Precondition: `waiter` belongs to the calling coroutine.
  bool Connect(const TcpEndpoint& endpoint,
               MonotonicTime deadline,
               Waiter* waiter,
               Coroutine yield);

  // Replaces the notified waiter; null detaches it. Precondition: `waiter`
  // stays valid until it is detached or replaced.
  void SetWaiter(Waiter* waiter) { this->waiter = waiter; }

  // Received bytes that have not been consumed.
  std::string_view Input() const {
    return std::string_view(this->input).substr(this->consumed);
  }
  void Consume(std::size_t count);

  // Reads bytes that the socket has received but that the event loop has not
  // handled yet. Returns whether unconsumed input is available. To be called
  // before a peer is considered silent: after a delay of the loop, handlers of
  // other events may run before that of the input.
  bool ReadPending();

  // Whether no further input will arrive: closed by either side, or failed.
  bool HasEnded() const { return this->ended; }

  // The same, after reading what the socket has received. To be called before
  // an action that is of no use once the peer has closed.
  bool PollEnded();

  // Whether the connection failed with an error. False after an orderly close.
  bool HasFailed() const { return this->failed; }

  // Counts the connection as `base_bytes` and its buffers in `budget`, which
  // must outlive the connection.
  void CountIn(MemoryBudget* budget, MemoryUse use, std::size_t base_bytes);

  // Amount of unconsumed input at which reading pauses.
  void SetReadPause(std::size_t bytes) { this->read_pause_bytes = bytes; }
  std::size_t ReadPauseBytes() const { return this->read_pause_bytes; }

  // Queues bytes for sending. Does nothing once the connection is closed or has
  // failed.
  void Send(std::string bytes);

  // Number of queued bytes whose write operation has not completed.
  std::size_t UnsentBytes() const { return this->unsent; }

  // Whether any bytes have been written to the socket.
  bool HasSentBytes() const { return this->sent_any; }

  // Closes immediately and discards unsent bytes.
  void Close();

  // Closes as after a failure, and notifies the waiter.
  void Abort();

  // Whether the connection is reset when it closes, the end of the process
  // included. Ends when FinishSending has sent all bytes.
  void SetResetOnClose(bool resets);

  // Shuts down the sending side after all queued bytes; reading continues.
  void FinishSending();

  // Time of the last received input, initially the time of connection.
  MonotonicTime LastInput() const { return this->last_input; }

  // When the connection was returned to the pool. Set by ConnectionPool.
  MonotonicTime idle_since;
  // Maximum idle time in the pool. Set by ConnectionPool.
  Duration idle_limit{0};

 private:
  void Start();
  void WaitForInput();
  // Returns whether bytes were read.
  bool ReadInput();
  void WriteNext();
  void MarkEnded(bool by_error);
  void NotifyWaiter();
  void UpdateLease();

  EventLoop* const loop;
  boost::asio::ip::tcp::socket socket;
  Waiter* waiter = nullptr;
  std::string input;
  std::size_t consumed = 0;
  std::string writing;
  std::string queued;
  std::size_t unsent = 0;
  std::size_t read_pause_bytes = kReadPauseThresholdBytes;
  std::size_t base_bytes = 0;
  MemoryLease lease;
  bool reading = false;
  bool write_in_progress = false;
  bool finish_after_writes = false;
  bool ended = false;
  bool failed = false;
  bool closed = false;
  bool sent_any = false;
  bool resets_on_close = false;
  MonotonicTime last_input;
};

}  // namespace kumquatcart

#endif  // NET_TCP_CONNECTION_H_
