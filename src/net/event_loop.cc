#include "net/event_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/coroutine/attributes.hpp>

#include "net/net_constants.h"

namespace kumquatcart {

void EventLoop::Spawn(std::function<void(Coroutine)> body) {
  boost::asio::spawn(this->context, std::move(body),
                     boost::coroutines::attributes(kCoroutineStackBytes));
}

void EventLoop::Sleep(Duration duration, Coroutine yield) {
  boost::asio::steady_timer timer(this->context, duration);
  boost::system::error_code ignored;  // The wait fails only if cancelled.
  timer.async_wait(yield[ignored]);
  const MonotonicTime now = this->Now();
  this->monitor.NoteLateness(now - timer.expiry(), now);
}

void EventLoop::Yield(Coroutine yield) {
  boost::asio::post(this->context, yield);
}

void EventLoop::Run() {
  auto work_guard = boost::asio::make_work_guard(this->context);
  this->context.run();
}

void EventLoop::Stop() {
  this->context.stop();
}

void EventLoop::UnwindCoroutines() {
  this->context.DestroyPendingHandlers();
}

}  // namespace kumquatcart
