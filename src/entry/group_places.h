// Places for requests in replica groups.
#ifndef ENTRY_GROUP_PLACES_H_
#define ENTRY_GROUP_PLACES_H_

#include <list>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/fleet_view.h"
#include "net/tcp_connection.h"
#include "net/waiter.h"
#include "routing/place_choice.h"
#include "routing/shared_load.h"
#include "routing/wait_forecast.h"

namespace kumquatcart {

// The server that takes a request. Counts in the server's load while it lives.
class Placement {
 public:
  Placement(SharedLoad* load,
            const BackendServer& server,
            std::string group,
            std::int64_t epoch,
            std::function<void()> released);
  ~Placement();
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  const std::string& ServerId() const { return this->server_id; }
  const Endpoint& Address() const { return this->address; }
  // Empty for servers of plain services.
  const std::string& Group() const { return this->group; }
  std::int64_t Epoch() const { return this->epoch; }

 private:
  SharedLoad* const load;
  const std::string server_id;
  const Endpoint address;
  const std::string group;
  const std::int64_t epoch;
  const std::function<void()> released;
};
using PlacementPtr = std::unique_ptr<Placement>;

// What a request asks for.
struct PlaceQuery {
  std::string service;
  std::string model;               // Empty for plain services.
  std::set<std::string> excluded;  // Servers not to use again.
  MonotonicTime wait_until;        // Latest time at which a place is of use.
};

// A place, or why there is none and when to come back.
struct PlaceResult {
  PlacementPtr placement;
  Duration retry_after{0};
  const char* reason = "";
};

// Gives each request the least loaded group of its model. When every place is
// taken, requests wait in order of arrival; one whose turn cannot come in time
// is refused at once. For the event loop's thread.
class GroupPlaces {
 public:
  GroupPlaces(EventLoop* loop,
              FleetView* view,
              SharedLoad* load,
              std::string failure_domain)
      : loop(loop),
        view(view),
        load(load),
        failure_domain(std::move(failure_domain)) {}

  // Suspends until a place is free or `query.wait_until`, or until `caller`
  // leaves. Precondition: `waiter` is attached to `caller`.
  PlaceResult Acquire(const PlaceQuery& query,
                      TcpConnection* caller,
                      Waiter* waiter,
                      Coroutine yield);

  // A free place at once, or null.
  PlacementPtr TryTake(const PlaceQuery& query);

  // Groups or loads have changed: gives free places to those who wait.
  void NoteChange();

 private:
  struct Pending {
    const PlaceQuery* query;
    Waiter* waiter;
    PlacementPtr placement;
  };

  // Requests for the same model that wait already.
  int Ahead(const PlaceQuery& query) const;
  // Open groups of the query's model that are not excluded.
  std::vector<const GroupStatus*> Candidates(const PlaceQuery& query) const;

  EventLoop* const loop;
  FleetView* const view;
  SharedLoad* const load;
  const std::string failure_domain;
  std::list<Pending*> waiting;
  WaitForecast forecast;
  std::minstd_rand generator{std::random_device{}()};
};

}  // namespace kumquatcart

#endif  // ENTRY_GROUP_PLACES_H_
