// Places for requests in replica groups.
#ifndef ENTRY_GROUP_PLACES_H_
#define ENTRY_GROUP_PLACES_H_

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/fleet_view.h"
#include "entry/placement.h"
#include "net/tcp_connection.h"
#include "net/waiter.h"
#include "routing/place_choice.h"
#include "routing/wait_forecast.h"
#include "routing/waiting_line.h"

namespace kumquatcart {

// What a request asks for.
struct PlaceQuery {
  std::string service;
  std::string model;               // Empty for plain services.
  std::set<std::string> excluded;  // Servers not to use again.
  std::int64_t prompt_tokens = 0;
  Duration gap_target{0};      // Longest pause of the route's streams.
  MonotonicTime latest_start;  // Latest start with which it is on time.
  MonotonicTime wait_until;    // Latest time at which a place is of use.
};

// A place, or why there is none and when to come back.
struct PlaceResult {
  PlacementPtr placement;
  Duration retry_after{0};
  const char* reason = "";
};

class GroupPlaces;

// A request's turn in the line for a place. Leaves the line when it ends. For
// the event loop's thread.
class PlaceTicket {
 public:
  // Both outlive this.
  PlaceTicket(GroupPlaces* places, PlaceQuery query, Waiter* waiter);
  ~PlaceTicket();
  PlaceTicket(const PlaceTicket&) = delete;
  PlaceTicket& operator=(const PlaceTicket&) = delete;

  bool IsGranted() const { return this->placement != nullptr; }
  // Null unless granted.
  PlacementPtr Take() { return std::move(this->placement); }

 private:
  friend class GroupPlaces;

  GroupPlaces* const places;
  const PlaceQuery query;
  Waiter* const waiter;
  const WaitingRequest request;
  PlacementPtr placement;
};
using PlaceTicketPtr = std::unique_ptr<PlaceTicket>;

// Gives each request the least loaded group of its model. When none takes it,
// it waits in line; one whose turn cannot come in time is refused at once. For
// the event loop's thread.
class GroupPlaces {
 public:
  GroupPlaces(EventLoop* loop,
              FleetView* view,
              WorkCounts counts,
              std::string failure_domain)
      : loop(loop),
        view(view),
        counts(counts),
        failure_domain(std::move(failure_domain)) {}

  // Suspends until a place is free or `query.wait_until`, or until `caller`
  // leaves. Precondition: `waiter` is attached to `caller`.
  PlaceResult Acquire(const PlaceQuery& query,
                      TcpConnection* caller,
                      Waiter* waiter,
                      Coroutine yield);

  // Stands in line, and notifies `waiter` when a place is granted.
  PlaceTicketPtr Join(const PlaceQuery& query, Waiter* waiter);

  // Groups or loads have changed: gives free places to those who wait.
  void NoteChange();

  // Entry VMs that share the groups.
  void SetNodes(int nodes) { this->nodes = nodes; }

 private:
  friend class PlaceTicket;

  PlacementPtr TryTake(const PlaceQuery& query);
  // Open groups of the query's model that are not excluded.
  std::vector<const GroupStatus*> Candidates(const PlaceQuery& query) const;
  PlaceDemand DemandOf(const PlaceQuery& query,
                       const EngineSpec& engine,
                       int groups) const;
  // Time until a ticket in line gets a place. Precondition: the service has an
  // engine.
  Duration ExpectedWait(const PlaceTicket& ticket);
  void Leave(PlaceTicket* ticket) { this->line.remove(ticket); }

  EventLoop* const loop;
  FleetView* const view;
  const WorkCounts counts;
  const std::string failure_domain;
  std::list<PlaceTicket*> line;  // Not granted yet.
  WaitForecast forecast;
  int nodes = 1;
  std::minstd_rand generator{std::random_device{}()};
};

}  // namespace kumquatcart

#endif  // ENTRY_GROUP_PLACES_H_
