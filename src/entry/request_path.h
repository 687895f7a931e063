// What a process needs to serve callers' requests, connected.
#ifndef ENTRY_REQUEST_PATH_H_
#define ENTRY_REQUEST_PATH_H_

#include <string>

#include "entry/entry_context.h"
#include "entry/group_places.h"
#include "entry/group_watch.h"
#include "entry/plain_places.h"

namespace kumquatcart {

// For the event loop's thread. Outlives every request.
struct RequestPath {
  // The pointers' referents outlive this. `failure_domain`: the process's own.
  RequestPath(EventLoop* loop,
              FleetView* view,
              ServerProber* prober,
              const std::string& failure_domain,
              RepeatBounds repeat_bounds);
  RequestPath(const RequestPath&) = delete;
  RequestPath& operator=(const RequestPath&) = delete;

  SharedLoad requests;
  SharedLoad unread;  // Prompt tokens that were sent and are not read.
  ConnectionPool pool;
  RepeatAllowance repeats;
  GroupPlaces group_places;
  PlainPlaces plain_places;
  GroupWatch group_watch;
  MetricRegistry metrics;
  EntryContext context;
};

}  // namespace kumquatcart

#endif  // ENTRY_REQUEST_PATH_H_
