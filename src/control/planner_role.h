// Which entry VM plans a failure domain and reads the store for it.
#ifndef CONTROL_PLANNER_ROLE_H_
#define CONTROL_PLANNER_ROLE_H_

#include <string>

#include "peers/peer_directory.h"
#include "platform/store_client.h"

namespace kumquatcart {

// Follows from digests alone, so that it costs no call. For the event loop's
// thread.
class PlannerRole {
 public:
  PlannerRole(EventLoop* loop,
              const PeerDirectory* peers,
              const StoreClient* store,
              std::string own_failure_domain)
      : loop(loop),
        peers(peers),
        store(store),
        own_failure_domain(std::move(own_failure_domain)) {}

  // Whether this process plans `failure_domain`.
  bool IsMine(const std::string& failure_domain) const;

  // The peer that plans it; null where this process does, or nobody.
  const PeerState* Other(const std::string& failure_domain) const;

  // Whether this process follows the store for its failure domain: it is among
  // the first `readers` nodes there, or nobody plans it. The others get the
  // records from peers.
  bool ReadsStore(int readers) const;

  // The process stops: it plans nothing any more.
  void Stop() { this->stopping = true; }

 private:
  EventLoop* const loop;
  const PeerDirectory* const peers;
  const StoreClient* const store;
  const std::string own_failure_domain;
  bool stopping = false;
};

}  // namespace kumquatcart

#endif  // CONTROL_PLANNER_ROLE_H_
