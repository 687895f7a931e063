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

void GroupStallDetector::Begin(const std::string& group, std::int64_t epoch) {
  Activity& activity = this->activities[{group, epoch}];
  if (activity.streams++ == 0) {
    activity.last_progress_at = this->loop->Now();
  }
}

void GroupStallDetector::NoteProgress(const std::string& group,
                                      std::int64_t epoch) {
  const auto activity = this->activities.find({group, epoch});
  if (activity != this->activities.end()) {
    activity->second.last_progress_at = this->loop->Now();
  }
}

void GroupStallDetector::End(const std::string& group, std::int64_t epoch) {
  --this->activities[{group, epoch}].streams;
}

const GroupRecord* GroupStallDetector::FindRecord(const Formation& formation) {
  const GroupStatus* status = this->view->FindGroup(formation.first);
  if (status == nullptr) {
    return nullptr;
  }
  if (status->record.epoch == formation.second) {
    return &status->record;
  }
  return status->previous && status->previous->epoch == formation.second
             ? &*status->previous
             : nullptr;
}

void GroupStallDetector::CheckGroups() {
  const MonotonicTime now = this->loop->Now();
  for (auto entry = this->activities.begin();
       entry != this->activities.end();) {
    const bool was_suspected =
        now - entry->second.suspected_at < kSuspicionInterval;
    if (entry->second.streams == 0 && !was_suspected) {
      entry = this->activities.erase(entry);
      continue;
    }
    if (entry->second.streams > 0 && !was_suspected &&
        now - entry->second.last_progress_at >= kStallThreshold) {
      this->Suspect(entry->first, &entry->second);
    }
    ++entry;
  }
}

void GroupStallDetector::Suspect(const Formation& formation,
                                 Activity* activity) {
  const MonotonicTime now = this->loop->Now();
  activity->suspected_at = now;
  const GroupRecord* record = this->FindRecord(formation);
  if (record == nullptr) {
    return;
  }
  LogInfo("group_silent",
          {{"group", record->group},
           {"epoch", record->epoch},
           {"streams", activity->streams},
           {"silent_ms", ToMillis(now - activity->last_progress_at)}});
  // Copied, since the record may change while the servers are probed.
  const std::vector<std::string> members = record->members;
  this->prober->ReportSuspected(members);
  if (now - activity->last_progress_at > kLongStallThreshold &&
      !members.empty()) {
    // The planner's probes have completed by now; the network path from this
    // VM may be broken.
    this->prober->Probe({members.front()});
  }
}

}  // namespace kumquatcart
