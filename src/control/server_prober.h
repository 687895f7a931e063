// Asks servers whether they still answer.
#ifndef CONTROL_SERVER_PROBER_H_
#define CONTROL_SERVER_PROBER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/fleet_view.h"
#include "control/planner_role.h"
#include "platform/engine_client.h"

namespace kumquatcart {

// Finds out which servers are unreachable and keeps asking those. For the event
// loop's thread.
class ServerProber {
 public:
  using TellPeer = std::function<void(const PeerState&)>;

  // `tell` sends this process's digest to a peer; `changed` is called after a
  // server was found to be lost or back.
  ServerProber(EventLoop* loop,
               EngineClient* engines,
               FleetView* view,
               const PlannerRole* role,
               TellPeer tell,
               std::function<void()> changed)
      : loop(loop),
        engines(engines),
        view(view),
        role(role),
        tell(std::move(tell)),
        changed(std::move(changed)) {}

  // Starts to ask unreachable servers again and again, until they answer or
  // their entry goes.
  void Start();

  // Asks each server now, all at once, unless it is being asked.
  void Probe(const std::vector<std::string>& servers);

  // These may be lost: has them asked by the planner of their failure domain,
  // so that one VM asks and all learn.
  void Doubt(const std::vector<std::string>& servers);
  // Servers doubted lately, for the digest.
  std::vector<std::string> Doubted() const;

  // Takes a peer's word: as the planner, asks those servers that it could not
  // reach or doubts; from the planner, believes it.
  void HearPeer(const NodeDigest& digest);

 private:
  // The failure domain's planner where that is a peer; null where this process
  // has to ask for itself.
  const PeerState* PlannerOf(const std::string& server) const;
  void ProbeOnHearsay(const std::vector<std::string>& servers);
  void ReviewUnreachable();
  void ProbeOne(const BackendServer& server, Coroutine yield);
  // Whether one of two overlapping probes is answered; otherwise `reason` says
  // what became of the last one.
  bool Answers(const BackendServer& server,
               std::string* reason,
               Coroutine yield);

  EventLoop* const loop;
  EngineClient* const engines;
  FleetView* const view;
  const PlannerRole* const role;
  const TellPeer tell;
  const std::function<void()> changed;
  std::set<std::string> in_progress;
  std::map<std::string, MonotonicTime> asked_at;
  std::map<std::string, MonotonicTime> doubted_at;
};

}  // namespace kumquatcart

#endif  // CONTROL_SERVER_PROBER_H_
