#include "control/group_driver.h"

#include <map>

#include "base/logging.h"
#include "base/scope_guard.h"
#include "control/group_record_codec.h"
#include "control/standby_name.h"

namespace kumquatcart {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

}  // namespace

void GroupDriver::Start() {
  this->parts.loop->Spawn([this](Coroutine yield) {
    for (;;) {
      this->Tick();
      this->parts.loop->Sleep(kTickInterval, yield);
    }
  });
}

void GroupDriver::Tick() {
  if (this->parts.view->Config() == nullptr ||
      !this->parts.records->IsSynced()) {
    return;
  }
  for (const FabricDomain& domain : ListFabricDomains(*this->parts.view)) {
    if (this->parts.role->IsMine(domain.failure_domain)) {
      this->WorkOn(domain);
    }
  }
}

void GroupDriver::StartOnce(const std::string& key,
                            std::function<void(Coroutine)> task) {
  if (!this->running.insert(key).second) {
    return;
  }
  this->parts.loop->Spawn([this, key, task = std::move(task)](Coroutine yield) {
    const ScopeGuard guard([this, &key] { this->running.erase(key); });
    task(yield);
  });
}

void GroupDriver::WorkOn(const FabricDomain& domain) {
  DomainPlan plan = PlanDomain(MakePlanningInput(domain, *this->parts.view,
                                                 this->parts.failure_domain,
                                                 this->parts.loop->Now()));
  if (!plan.records.empty()) {
    this->StartOnce("write", [this, records = plan.records](Coroutine yield) {
      this->WriteRecords(records, yield);
    });
    return;  // Orders follow once the records stand.
  }
  std::set<std::string> members;
  for (const auto& entry : this->parts.view->Groups()) {
    const GroupStatus& status = entry.second;
    if (status.record.fabric_domain != domain.name) {
      continue;
    }
    members.insert(status.record.members.begin(), status.record.members.end());
    if (!status.open) {
      this->StartOnce("group " + entry.first,
                      [this, record = status.record](Coroutine yield) {
                        this->orders.Drive(record, yield);
                      });
    }
  }
  for (const BackendServer* server : domain.servers) {
    if (members.count(server->id) == 0 && server->membership &&
        server->membership->group != StandbyName(server->id) &&
        this->parts.view->IsReachable(server->id)) {
      this->StartOnce("server " + server->id,
                      [this, copy = *server](Coroutine yield) {
                        this->orders.LeaveGroup(copy, yield);
                      });
    }
  }
  for (const StandbyAssignment& standby : plan.standbys) {
    this->StartOnce("server " + standby.server,
                    [this, standby](Coroutine yield) {
                      this->standbys.Prepare(standby, yield);
                    });
  }
}

void GroupDriver::WriteRecords(const std::vector<GroupRecord>& records,
                               Coroutine yield) {
  for (GroupRecord record : records) {
    const std::int64_t at = this->parts.records->End();
    const Result<std::int64_t> offset =
        this->parts.store->Append(StoreTopic::kGroups, record.group,
                                  EncodeGroupRecord(record), at, yield);
    if (offset.has_error()) {
      LogWarning("group_record_failed", {{"group", record.group},
                                         {"at", at},
                                         {"reason", offset.error().message}});
      // Whether it stands is read back before the next plan.
      this->parts.records->CatchUp(yield);
      return;
    }
    this->parts.records->CatchUp(yield);
  }
  this->parts.changed();
}

std::vector<GroupNews> GroupDriver::News() const {
  std::vector<GroupNews> news;
  std::map<std::string, bool> planned;  // By failure domain.
  for (const auto& entry : this->parts.view->Groups()) {
    const GroupRecord& record = entry.second.record;
    const BackendServer* head = this->parts.view->HeadOf(record);
    if (head == nullptr) {
      continue;
    }
    const auto known = planned.find(head->failure_domain);
    const bool plans =
        known != planned.end()
            ? known->second
            : planned
                  .emplace(head->failure_domain,
                           this->parts.role->IsMine(head->failure_domain))
                  .first->second;
    if (plans) {
      news.push_back({entry.first, record.epoch, entry.second.open});
    }
  }
  return news;
}

}  // namespace kumquatcart
