#include "entry/group_stall_detector.h"

#include "base/logging.h"

namespace kumquatcart {

namespace {

constexpr Duration kActivityCheckInterval = std::chrono::milliseconds(50);
// Time without progress after which the members become suspect: above the
// longest step of a full batch that includes prefill.
constexpr Duration kStallThreshold = std::chrono::milliseconds(300);
// Time without progress after which this process probes the head directly.
constexpr Duration kLongStallThreshold = std::chrono::milliseconds(850);
// Time between two suspicions of the same group.
constexpr Duration kSuspicionInterval = std::chrono::milliseconds(600);

}  // namespace

void GroupStallDetector::Start() {
  this->loop->Spawn([this](Coroutine yield) {
    for (;;) {
      this->loop->Sleep(kActivityCheckInterval, yield);
      this->CheckGroups();
    }
  });
}

void GroupStallDetector::Begin(const std::string& group) {
  Activity& activity = this->activities[group];
  if (activity.streams++ == 0) {
    activity.last_progress_at = this->loop->Now();
  }
}

void GroupStallDetector::NoteProgress(const std::string& group) {
  this->activities[group].last_progress_at = this->loop->Now();
}

void GroupStallDetector::End(const std::string& group) {
  --this->activities[group].streams;
}

void GroupStallDetector::CheckGroups() {
  const MonotonicTime now = this->loop->Now();
  for (auto& [group, activity] : this->activities) {
    if (activity.streams == 0 ||
        now - activity.last_progress_at < kStallThreshold ||
        now - activity.suspected_at < kSuspicionInterval) {
      continue;
    }
    activity.suspected_at = now;
    const GroupStatus* status = this->view->FindGroup(group);
    if (status == nullptr) {
      continue;
    }
    LogInfo("group_silent",
            {{"group", group},
             {"epoch", status->record.epoch},
             {"streams", activity.streams},
             {"silent_ms", ToMillis(now - activity.last_progress_at)}});
    this->prober->ReportSuspected(status->record.members);
    if (now - activity.last_progress_at > kLongStallThreshold &&
        !status->record.members.empty()) {
      // The planner's probes have completed by now; the network path from this
      // VM may be broken.
      this->prober->Probe({status->record.members.front()});
    }
  }
}

}  // namespace kumquatcart
