// Single-threaded event loop for the network I/O of an entry VM process.
#ifndef NET_EVENT_LOOP_H_
#define NET_EVENT_LOOP_H_

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>

#include "base/clock.h"
#include "net/loop_monitor.h"

namespace kumquatcart {

using Coroutine = boost::asio::yield_context;
using TcpEndpoint = boost::asio::ip::tcp::endpoint;

// Runs coroutines and completion handlers on the thread that calls Run. All
// methods except Stop must be called on that thread or before Run.
class EventLoop {
 public:
  boost::asio::io_context& Context() { return this->context; }

  LoopMonitor* Monitor() { return &this->monitor; }

  // Monotonic time.
  MonotonicTime Now() const { return std::chrono::steady_clock::now(); }

  // Starts a coroutine. An uncaught exception in `body` ends the process; see
  // failure_boundary.h.
  void Spawn(std::function<void(Coroutine)> body);

  // Suspends the calling coroutine for `duration`.
  void Sleep(Duration duration, Coroutine yield);

  // Lets the loop handle the pending events before the calling coroutine
  // continues.
  void Yield(Coroutine yield);

  // Processes events until Stop is called.
  void Run();

  // Thread safe.
  void Stop();

  // Unwinds every suspended coroutine and destroys all pending handlers without
  // invoking them. Must be called before objects that coroutines use are
  // destroyed. No handler runs afterwards.
  void UnwindCoroutines();

 private:
  // Exposes the protected shutdown(), which otherwise runs only in the
  // destructor.
  class ShutdownContext : public boost::asio::io_context {
   public:
    using boost::asio::io_context::io_context;
    void DestroyPendingHandlers() { this->shutdown(); }
  };

  ShutdownContext context{1};
  LoopMonitor monitor;
};

}  // namespace kumquatcart

#endif  // NET_EVENT_LOOP_H_
