#include "control/group_reconciler.h"

#include <map>

#include <fmt/format.h>

#include "base/logging.h"
#include "base/scope_guard.h"
#include "control/group_record_codec.h"
#include "control/lost_groups.h"
#include "control/standby_name.h"

namespace kumquatcart {

namespace {

constexpr Duration kReconcileInterval = std::chrono::milliseconds(100);
// Time in which the entries of the members of a lost group are written again.
constexpr Duration kEntriesReturnTime = std::chrono::milliseconds(2500);

// Names one start of a server in the keys of tasks.
std::string StartKey(const BackendServer& server) {
  return server.id + " " + std::to_string(server.started_ms);
}

}  // namespace

void GroupReconciler::Start() {
  this->parts.loop->Spawn([this](Coroutine yield) {
    for (;;) {
      this->ReconcileDomains();
      this->parts.loop->Sleep(kReconcileInterval, yield);
    }
  });
}

void GroupReconciler::ReconcileDomains() {
  if (this->parts.view->Config() == nullptr ||
      !this->parts.records->IsCurrent() || !this->parts.role->MayPlan()) {
    return;
  }
  std::map<std::string, bool> planned_here;  // By failure domain.
  for (const FabricDomain& domain : ListFabricDomains(*this->parts.view)) {
    if (this->IsPlannedHere(domain.failure_domain, &planned_here)) {
      this->ReconcileDomain(domain);
    }
  }
}

bool GroupReconciler::IsPlannedHere(
    const std::string& failure_domain,
    std::map<std::string, bool>* planned_here) const {
  const auto known = planned_here->find(failure_domain);
  if (known != planned_here->end()) {
    return known->second;
  }
  const bool is_planner = this->parts.role->IsPlannerOf(failure_domain);
  planned_here->emplace(failure_domain, is_planner);
  return is_planner;
}

void GroupReconciler::StartOnce(const std::string& key,
                                std::function<void(Coroutine)> task) {
  if (!this->running_tasks.insert(key).second) {
    return;
  }
  this->parts.loop->Spawn([this, key, task = std::move(task)](Coroutine yield) {
    const ScopeGuard guard([this, &key] { this->running_tasks.erase(key); });
    task(yield);
  });
}

void GroupReconciler::ReconcileDomain(const FabricDomain& domain) {
  const LoopStep step(this->parts.loop->Monitor(), "reconcile_domain");
  if (this->RestoreRecords(domain)) {
    return;
  }
  DomainPlan plan = PlanDomain(MakePlanningInput(domain, *this->parts.view,
                                                 this->parts.failure_domain,
                                                 this->parts.loop->Now()));
  if (!plan.records.empty()) {
    this->StartWriting(std::move(plan.records));
    return;  // Orders are sent once the records are written.
  }
  std::set<std::string> members;
  for (const auto& entry : this->parts.view->Groups()) {
    const GroupStatus& status = entry.second;
    if (status.record.fabric_domain != domain.name) {
      continue;
    }
    members.insert(status.record.members.begin(), status.record.members.end());
    // The servers of a dissolved group are ordered to leave below.
    if (!status.open && !status.record.members.empty()) {
      this->StartOnce("group " + entry.first,
                      [this, record = status.record](Coroutine yield) {
                        this->orders.Reconcile(record, yield);
                      });
    }
  }
  for (const BackendServer* server : domain.servers) {
    if (members.count(server->id) == 0 && server->membership &&
        server->membership->group != StandbyGroupName(server->id) &&
        this->parts.view->IsReachable(server->id)) {
      this->StartOnce("leave " + StartKey(*server),
                      [this, copy = *server](Coroutine yield) {
                        this->orders.LeaveGroup(copy, yield);
                      });
    }
  }
  for (const StandbyAssignment& standby : plan.standbys) {
    const BackendServer* server = this->parts.view->FindServer(standby.server);
    if (server == nullptr) {
      continue;
    }
    this->StartOnce(
        (standby.stages_only ? "stage " : "standby ") + StartKey(*server),
        [this, standby](Coroutine yield) {
          this->standbys.LoadStandby(standby, yield);
        });
  }
}

bool GroupReconciler::RestoreRecords(const FabricDomain& domain) {
  const MonotonicTime now = this->parts.loop->Now();
  std::vector<GroupRecord> lost;
  for (const auto& entry : this->parts.records->Retained()) {
    const GroupStatus* status = this->parts.view->FindGroup(entry.first);
    if (status == nullptr || status->record.fabric_domain != domain.name) {
      continue;
    }
    lost.push_back(status->record);
    if (HasLaterGroup(status->record, *this->parts.view)) {
      lost.back().members.clear();  // Dissolves it, under a new epoch.
      lost.back().epoch = 0;
    }
  }
  LostGroups reported = FindLostGroups(domain, *this->parts.view);
  lost.insert(lost.end(), reported.whole.begin(), reported.whole.end());
  if (!lost.empty()) {
    this->StartWriting(std::move(lost));
    return true;
  }
  bool waits = false;
  std::map<GroupFormation, MonotonicTime> seen;
  std::map<GroupFormation, MonotonicTime>& former =
      this->partial_since[domain.name];
  for (const GroupFormation& formation : reported.partial) {
    const auto known = former.find(formation);
    if (known == former.end()) {
      LogWarning("group_without_record", {{"group", formation.first},
                                          {"epoch", formation.second},
                                          {"domain", domain.name}});
    }
    const MonotonicTime since = known == former.end() ? now : known->second;
    seen.emplace(formation, since);
    waits = waits || now - since < kEntriesReturnTime;
    const GroupStatus* status = this->parts.view->FindGroup(formation.first);
    if (now - since >= kEntriesReturnTime && status != nullptr &&
        !status->record.members.empty()) {
      // Its members reject orders of the recorded epoch.
      lost.push_back(status->record);
      lost.back().epoch = 0;
    }
  }
  former = std::move(seen);
  if (!waits && !lost.empty()) {
    this->StartWriting(std::move(lost));
    return true;
  }
  return waits;
}

void GroupReconciler::StartWriting(std::vector<GroupRecord> records) {
  std::map<std::string, std::int64_t> planned_from =
      RecordedEpochs(records.front().fabric_domain, *this->parts.view);
  this->StartOnce("write",
                  [this, records = std::move(records),
                   planned_from = std::move(planned_from)](Coroutine yield) {
                    this->WriteRecords(records, planned_from, yield);
                  });
}

void GroupReconciler::WriteRecords(
    const std::vector<GroupRecord>& records,
    std::map<std::string, std::int64_t> planned_from,
    Coroutine yield) {
  for (GroupRecord record : records) {
    if (RecordedEpochs(record.fabric_domain, *this->parts.view) !=
        planned_from) {
      LogInfo("group_plan_outdated", {{"group", record.group},
                                      {"domain", record.fabric_domain},
                                      {"at", this->parts.records->End()}});
      break;
    }
    if (!this->WriteRecord(&record, yield)) {
      return;
    }
    planned_from[record.group] = record.epoch;
  }
  this->parts.changed();
}

bool GroupReconciler::WriteRecord(GroupRecord* record, Coroutine yield) {
  const TopicPosition at = this->parts.records->Position();
  const bool is_restored = record->epoch != 0;
  if (!is_restored) {
    record->epoch =
        MakeEpoch(at, HighestKnownEpoch(*this->parts.view), this->next_nonce++);
    record->member_starts.clear();
    for (const std::string& id : record->members) {
      const BackendServer* server = this->parts.view->FindServer(id);
      record->member_starts.push_back(server == nullptr ? 0
                                                        : server->started_ms);
    }
  }
  const Result<std::int64_t> offset =
      this->parts.store->Append(StoreTopic::kGroups, record->group,
                                EncodeGroupRecord(*record), at.offset, yield);
  if (offset.has_error()) {
    LogWarning("group_record_failed", {{"group", record->group},
                                       {"era", at.era},
                                       {"at", at.offset},
                                       {"reason", offset.error().message}});
  } else {
    LogInfo(is_restored ? "group_record_restored" : "group_record_written",
            {{"group", record->group},
             {"epoch", record->epoch},
             {"members", fmt::format("{}", fmt::join(record->members, ","))},
             {"era", at.era},
             {"at", at.offset}});
  }
  // A failed append may have succeeded nevertheless, so the topic is read
  // before the next plan.
  this->parts.records->CatchUp(yield);
  // A record of another planner is progress, too: the next plan rests on it.
  const Duration pause = this->writes.NextPause(
      offset.has_value() || this->parts.records->Position() != at);
  if (offset.has_error()) {
    this->parts.loop->Sleep(pause, yield);
  }
  return offset.has_value();
}

std::vector<GroupAvailability> GroupReconciler::GroupStates() const {
  std::vector<GroupAvailability> states;
  if (!this->parts.role->MayPlan()) {
    return states;
  }
  std::map<std::string, bool> planned_here;  // By failure domain.
  for (const auto& entry : this->parts.view->Groups()) {
    const GroupRecord& record = entry.second.record;
    if (record.members.empty()) {
      continue;
    }
    const BackendServer* head =
        this->parts.view->FindServer(record.members.front());
    if (head == nullptr) {
      continue;
    }
    if (this->IsPlannedHere(head->failure_domain, &planned_here)) {
      states.push_back({entry.first, record.epoch, entry.second.open});
    }
  }
  return states;
}

}  // namespace kumquatcart
