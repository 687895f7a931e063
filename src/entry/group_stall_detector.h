// Detects replica groups whose streams have all stalled.
#ifndef ENTRY_GROUP_STALL_DETECTOR_H_
#define ENTRY_GROUP_STALL_DETECTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "control/fleet_view.h"
#include "control/server_prober.h"

namespace kumquatcart {

// A group that lost a member stalls all its requests at once, long before its
// head reports the loss. When no stream of a group makes progress for some
// time, the members are reported as suspect, so that they are probed. The
// former head of a group may still be finishing streams beside the present one,
// so each epoch is watched by itself. Runs on the event loop's thread.
class GroupStallDetector {
 public:
  GroupStallDetector(EventLoop* loop, FleetView* view, ServerProber* prober)
      : loop(loop), view(view), prober(prober) {}

  // Starts the periodic check.
  void Start();

  // Each stream of a group is enclosed by Begin() and End(), with the epoch
  // under which it was sent.
  void Begin(const std::string& group, std::int64_t epoch);
  void NoteProgress(const std::string& group, std::int64_t epoch);
  void End(const std::string& group, std::int64_t epoch);

 private:
  struct Activity {
    int streams = 0;
    MonotonicTime last_progress_at;
    MonotonicTime suspected_at;
  };

  using Formation = std::pair<std::string, std::int64_t>;  // Group and epoch.

  void CheckGroups();
  // Reports the members of a formation whose streams have stalled.
  void Suspect(const Formation& formation, Activity* activity);
  // The record of a formation; null if it is neither the newest one of its
  // group nor the one before.
  const GroupRecord* FindRecord(const Formation& formation);

  EventLoop* const loop;
  FleetView* const view;
  ServerProber* const prober;
  std::map<Formation, Activity> activities;
};

}  // namespace kumquatcart

#endif  // ENTRY_GROUP_STALL_DETECTOR_H_
