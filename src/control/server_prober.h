// Probes servers for reachability.
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

// Detects unreachable servers and probes them until they answer. Each failure
// domain has one planner that probes its servers and shares the results in its
// digest. Use only on the event loop's thread.
class ServerProber {
 public:
  using DigestSender = std::function<void(const PeerState&)>;

  // `send_digest` sends this process's digest to a peer. `changed` is called
  // after the reachability of a server has changed.
  ServerProber(EventLoop* loop,
               EngineClient* engines,
               FleetView* view,
               const PlannerRole* role,
               DigestSender send_digest,
               std::function<void()> changed)
      : loop(loop),
        engines(engines),
        view(view),
        role(role),
        send_digest(std::move(send_digest)),
        changed(std::move(changed)) {}

  // Starts probing unreachable servers periodically until they answer or their
  // entry is removed.
  void Start();

  // Probes the servers in parallel, except those with a probe in progress.
  void Probe(const std::vector<std::string>& servers);

  // Handles an answer that says that another server has the address of
  // `server`.
  void HandleWrongServer(const BackendServer& server);

  // Reports servers that may be lost. The planner of their failure domain
  // probes them, so that one VM probes and all receive the result.
  void ReportSuspected(const std::vector<std::string>& servers);
  // Servers recently reported as possibly lost, for the digest.
  std::vector<std::string> SuspectedServers() const;

  // Processes a peer's digest. If this process is the planner, probes servers
  // that the peer reports as unreachable or suspected; if the peer is the
  // planner, marks the servers that it reports as unreachable.
  void HandlePeerDigest(const NodeDigest& digest);

 private:
  // Returns the peer that plans the server's failure domain, or null if this
  // process has to probe the server itself.
  const PeerState* PeerPlannerOfServer(const std::string& server) const;
  void ProbePeerReported(const std::vector<std::string>& servers);
  void CheckUnreachable();
  void ProbeOne(const BackendServer& server, Coroutine yield);
  // Applies what was found of `server`, unless it has been removed or has
  // started again since.
  void SetReachable(const BackendServer& server, bool reachable);
  // Sends two overlapping probes and returns whether one is answered. Sets
  // `reason` to the error of the last one that failed.
  bool AnswersProbe(const BackendServer& server,
                    std::string* reason,
                    Coroutine yield);

  EventLoop* const loop;
  EngineClient* const engines;
  FleetView* const view;
  const PlannerRole* const role;
  const DigestSender send_digest;
  const std::function<void()> changed;
  std::set<std::string> in_progress;
  std::map<std::string, MonotonicTime> probe_times;
  std::map<std::string, MonotonicTime> suspicion_times;
};

}  // namespace kumquatcart

#endif  // CONTROL_SERVER_PROBER_H_
