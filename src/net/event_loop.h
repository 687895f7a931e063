// The one thread that does all network work of an entry VM process.
#ifndef NET_EVENT_LOOP_H_
#define NET_EVENT_LOOP_H_

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>

#include "base/clock.h"

namespace kumquatcart {

using Coroutine = boost::asio::yield_context;
using TcpEndpoint = boost::asio::ip::tcp::endpoint;

// Runs coroutines and completion handlers on the thread that calls Run. All
// methods but Stop are for that thread, or for use before Run.
class EventLoop {
 public:
  boost::asio::io_context& Context() { return this->context; }

  // Monotonic time.
  MonotonicTime Now() const { return std::chrono::steady_clock::now(); }

  // Starts a coroutine. An exception that leaves `body` ends the process.
  void Spawn(std::function<void(Coroutine)> body);

  // Suspends the calling coroutine for `duration`.
  void Sleep(Duration duration, Coroutine yield);

  // Handles events until Stop.
  void Run();

  // Thread safe.
  void Stop();

  // Ends every coroutine where it waits. The owner of objects that coroutines
  // use calls it before it destroys them; nothing runs afterwards.
  void EndCoroutines();

 private:
  // Makes the end of all pending operations callable before destruction.
  class EndableContext : public boost::asio::io_context {
   public:
    using boost::asio::io_context::io_context;
    void EndOperations() { this->shutdown(); }
  };

  EndableContext context{1};
};

}  // namespace kumquatcart

#endif  // NET_EVENT_LOOP_H_
