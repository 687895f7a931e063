// Detects replica groups whose streams have all stalled.
#ifndef ENTRY_GROUP_STALL_DETECTOR_H_
#define ENTRY_GROUP_STALL_DETECTOR_H_

#include <map>
#include <string>
#include <vector>

#include "control/fleet_view.h"
#include "control/server_prober.h"

namespace kumquatcart {

// A group that lost a member stalls all its requests at once, long before its
// head reports the loss. When no stream of a group makes progress for some
// time, the members are reported as suspect, so that they are probed. Runs on
// the event loop's thread.
class GroupStallDetector {
 public:
  GroupStallDetector(EventLoop* loop, FleetView* view, ServerProber* prober)
      : loop(loop), view(view), prober(prober) {}

  // Starts the periodic check.
  void Start();

  // Each stream of a group is enclosed by Begin() and End().
  void Begin(const std::string& group);
  void NoteProgress(const std::string& group);
  void End(const std::string& group);

 private:
  struct Activity {
    int streams = 0;
    MonotonicTime last_progress_at;
    MonotonicTime suspected_at;
  };

  void CheckGroups();

  EventLoop* const loop;
  FleetView* const view;
  ServerProber* const prober;
  std::map<std::string, Activity> activities;
};

}  // namespace kumquatcart

#endif  // ENTRY_GROUP_STALL_DETECTOR_H_
