// What the parts of the request path share.
#ifndef ENTRY_ENTRY_CONTEXT_H_
#define ENTRY_ENTRY_CONTEXT_H_

#include <functional>
#include <memory>

#include "base/metrics.h"
#include "control/fleet_view.h"
#include "control/server_prober.h"
#include "net/connection_pool.h"
#include "routing/repeat_allowance.h"
#include "routing/route_table.h"

namespace kumquatcart {

class GroupPlaces;
class GroupWatch;
class PlainPlaces;

// The referents outlive every request. Only the event loop's thread uses it.
struct EntryContext {
  EventLoop* loop = nullptr;
  FleetView* view = nullptr;
  ServerProber* prober = nullptr;
  ConnectionPool* pool = nullptr;
  GroupPlaces* group_places = nullptr;
  PlainPlaces* plain_places = nullptr;
  GroupWatch* group_watch = nullptr;
  RepeatAllowance* repeats = nullptr;
  MetricRegistry* metrics = nullptr;
  // Index of the configuration in force; null before the first one.
  std::shared_ptr<const RouteTable> routes;
  // Whether servers and groups were read from the store once.
  std::function<bool()> knows_fleet = [] { return true; };
  // The process was told to stop: connections end after their request.
  bool is_stopping = false;
  // Connections without a request end now.
  bool close_idle_connections = false;
  int requests_in_progress = 0;
};

}  // namespace kumquatcart

#endif  // ENTRY_ENTRY_CONTEXT_H_
