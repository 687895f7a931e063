// Asks servers whether they still answer.
#ifndef CONTROL_SERVER_PROBER_H_
#define CONTROL_SERVER_PROBER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/fleet_view.h"
#include "platform/engine_client.h"

namespace kumquatcart {

// Finds out which servers are unreachable and keeps asking those. For the event
// loop's thread.
class ServerProber {
 public:
  // `changed` is called after a server was found to be lost or back.
  ServerProber(EventLoop* loop,
               EngineClient* engines,
               FleetView* view,
               std::function<void()> changed)
      : loop(loop), engines(engines), view(view), changed(std::move(changed)) {}

  // Starts to ask unreachable servers again and again, until they answer or
  // their entry goes.
  void Start();

  // Asks each server now, all at once, unless it is being asked.
  void Probe(const std::vector<std::string>& servers);

  // A peer could not reach these: asks those that were not asked lately.
  void ProbeOnHearsay(const std::vector<std::string>& servers);

 private:
  void ProbeOne(const BackendServer& server, Coroutine yield);
  // Whether one of two overlapping probes is answered; otherwise `reason` says
  // what became of the last one.
  bool Answers(const BackendServer& server,
               std::string* reason,
               Coroutine yield);

  EventLoop* const loop;
  EngineClient* const engines;
  FleetView* const view;
  const std::function<void()> changed;
  std::set<std::string> in_progress;
  std::map<std::string, MonotonicTime> asked_at;
};

}  // namespace kumquatcart

#endif  // CONTROL_SERVER_PROBER_H_
