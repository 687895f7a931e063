// Delayed calls on the thread of the stand-ins.
#ifndef STANDINS_SCHEDULER_H_
#define STANDINS_SCHEDULER_H_

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"

namespace kumquatcart::standins {

// Used on the io_context's thread only.
class Scheduler {
 public:
  // Precondition: both outlive the scheduler.
  Scheduler(boost::asio::io_context* context, Clock* clock)
      : context(context), clock(clock) {}

  MonotonicTime Now() const { return this->clock->Now(); }
  std::int64_t UnixMillis() const {
    return ToUnixMillis(this->clock->WallNow());
  }

  // Calls `work` once after `delay`.
  void After(Duration delay, std::function<void()> work) {
    auto timer =
        std::make_shared<boost::asio::steady_timer>(*this->context, delay);
    timer->async_wait([timer, work = std::move(work)](
                          const boost::system::error_code& error) {
      if (!error) {
        work();
      }
    });
  }

  // Calls `work` every `interval` for good.
  void Every(Duration interval, std::function<void()> work) {
    this->After(interval, [this, interval, work] {
      work();
      this->Every(interval, work);
    });
  }

 private:
  boost::asio::io_context* context;
  Clock* clock;
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_SCHEDULER_H_
