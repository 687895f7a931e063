// Selects the entry VMs that plan a failure domain and read the store for it.
#ifndef CONTROL_PLANNER_ROLE_H_
#define CONTROL_PLANNER_ROLE_H_

#include <string>

#include "peers/peer_directory.h"
#include "platform/store_client.h"

namespace kumquatcart {

// Derived from peers' digests and local state only, without remote calls. Use
// only on the event loop's thread.
class PlannerRole {
 public:
  PlannerRole(EventLoop* loop,
              const PeerDirectory* peers,
              const StoreClient* store,
              std::string own_failure_domain)
      : loop(loop),
        peers(peers),
        store(store),
        own_failure_domain(std::move(own_failure_domain)),
        started_at(loop->Now()) {}

  // Whether this process plans `failure_domain`.
  bool IsPlannerOf(const std::string& failure_domain) const;

  // Returns the peer that plans `failure_domain`, or null if this process or no
  // process does.
  const PeerState* PeerPlannerOf(const std::string& failure_domain) const;

  // Whether this process reads the store for its own failure domain: it is
  // among the first `readers` nodes there, by rank or among those that reach
  // the store. Other processes receive the records from peers. Shortly after
  // the start, nodes that are announced in the store count as live, since their
  // first digests may not have arrived yet.
  bool ReadsStore(int readers) const;

  // Whether a peer of this failure domain reads the store.
  bool HasReaderNearby() const;

  // Whether this process may plan any failure domain: its own, or one that has
  // no live nodes.
  bool MayPlan() const;

  // Gives up all planning because the process is shutting down.
  void Stop() { this->stopping = true; }

 private:
  EventLoop* const loop;
  const PeerDirectory* const peers;
  const StoreClient* const store;
  const std::string own_failure_domain;
  const MonotonicTime started_at;
  bool stopping = false;
};

}  // namespace kumquatcart

#endif  // CONTROL_PLANNER_ROLE_H_
