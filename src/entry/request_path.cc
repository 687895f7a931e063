#include "entry/request_path.h"

namespace kumquatcart {

RequestPath::RequestPath(EventLoop* loop,
                         FleetView* view,
                         ServerProber* prober,
                         const std::string& failure_domain,
                         RepeatBounds repeat_bounds)
    : pool(loop),
      repeats(repeat_bounds),
      group_places(loop,
                   view,
                   WorkCounts{&this->requests, &this->unread},
                   failure_domain),
      plain_places(loop,
                   view,
                   WorkCounts{&this->requests, &this->unread},
                   failure_domain),
      group_watch(loop, view, prober) {
  this->context.loop = loop;
  this->context.view = view;
  this->context.prober = prober;
  this->context.pool = &this->pool;
  this->context.group_places = &this->group_places;
  this->context.plain_places = &this->plain_places;
  this->context.group_watch = &this->group_watch;
  this->context.repeats = &this->repeats;
  this->context.metrics = &this->metrics;
}

}  // namespace kumquatcart
