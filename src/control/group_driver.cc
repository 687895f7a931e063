#include "control/group_driver.h"

#include <algorithm>

#include "base/logging.h"
#include "base/scope_guard.h"
#include "control/group_record_codec.h"
#include "net/run_all.h"

namespace kumquatcart {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
// An order is answered within some milliseconds; a lost packet is sent again
// after 200 ms.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(300);
constexpr Duration kReportTimeout = std::chrono::milliseconds(260);
// Pause between two looks at members that are joining.
constexpr Duration kJoinPoll = std::chrono::milliseconds(80);
// After this, joins that show no effect are sent again.
constexpr Duration kRejoinAfter = std::chrono::milliseconds(1500);
// A staging order that shows no effect is sent again after this: well above the
// time of a load that shares the weight store with others.
constexpr Duration kStageRetry = std::chrono::seconds(40);
// Time that a group which loses a member by planned work gets to finish its
// requests; below the shortest time for which a leaving server goes on.
constexpr Duration kFinishTime = std::chrono::milliseconds(1800);
// A domain whose newest server is younger may still be registering others.
constexpr Duration kDomainSettles = std::chrono::milliseconds(350);
// The same before the first request: then there is time, and groups formed from
// a part of the domain would not be the ones that the whole domain should have.
constexpr Duration kFirstServersSettle = std::chrono::milliseconds(1300);
// Span over which loads are counted against the weight store's rate.
constexpr Duration kLoadWindow = std::chrono::seconds(5);

std::string StandbyName(const std::string& server) {
  return "standby." + server;
}

bool IsIn(const BackendServer& server, const GroupRecord& record) {
  return server.membership && server.membership->group == record.group &&
         server.membership->epoch == record.epoch;
}

bool IsReadyState(MembershipState state) {
  return state == MembershipState::kReady || state == MembershipState::kOpen;
}

bool Contains(const std::vector<std::string>& list, const std::string& text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

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
  for (const Domain& domain : this->Domains()) {
    if (this->parts.role->IsMine(domain.failure_domain)) {
      this->WorkOn(domain);
    }
  }
}

std::vector<GroupDriver::Domain> GroupDriver::Domains() const {
  const RoutingConfig& config = *this->parts.view->Config();
  std::map<std::string, Domain> by_name;
  for (const auto& entry : this->parts.view->Servers()) {
    const BackendServer& server = entry.second;
    const auto service = config.services.find(server.service);
    if (server.fabric_domain.empty() || service == config.services.end() ||
        !service->second.engine) {
      continue;
    }
    Domain& domain = by_name[server.fabric_domain];
    domain.service = server.service;
    domain.name = server.fabric_domain;
    domain.failure_domain = server.failure_domain;
    domain.engine = &*service->second.engine;
    domain.servers.push_back(&server);
  }
  std::vector<Domain> domains;
  for (auto& entry : by_name) {
    domains.push_back(std::move(entry.second));
  }
  return domains;
}

PlannedServer GroupDriver::Describe(const BackendServer& server) const {
  PlannedServer planned;
  planned.id = server.id;
  planned.standing = this->parts.view->StandingOf(server.id);
  planned.staged_models = server.staged_models;
  planned.assignable =
      !server.membership || server.membership->group == StandbyName(server.id);
  if (server.membership && planned.assignable) {
    planned.is_loading = server.membership->state == MembershipState::kJoining;
    planned.standby_model =
        planned.is_loading ? std::string() : server.loaded_model;
  }
  return planned;
}

std::map<std::string, int> GroupDriver::AssignedElsewhere(
    const Domain& domain) const {
  std::map<std::string, int> assigned;
  for (const auto& entry : this->parts.view->Groups()) {
    const GroupRecord& record = entry.second.record;
    if (record.members.empty() || record.fabric_domain == domain.name) {
      continue;
    }
    const BackendServer* head =
        this->parts.view->FindServer(record.members.front());
    if (head != nullptr && head->failure_domain == domain.failure_domain) {
      assigned[record.model] += static_cast<int>(record.members.size());
    }
  }
  return assigned;
}

DomainInput GroupDriver::MakeInput(const Domain& domain) const {
  DomainInput input;
  input.service = domain.service;
  input.fabric_domain = domain.name;
  input.models = domain.engine->models;
  input.assigned_elsewhere = this->AssignedElsewhere(domain);
  input.is_growing =
      this->parts.loop->Now() - this->parts.view->DomainChangedAt(domain.name) <
      (this->parts.view->HasTraffic() ? kDomainSettles : kFirstServersSettle);
  input.is_remote = domain.failure_domain != this->parts.failure_domain;
  for (const BackendServer* server : domain.servers) {
    input.servers.push_back(this->Describe(*server));
  }
  for (const auto& entry : this->parts.view->Groups()) {
    const GroupRecord& record = entry.second.record;
    if (record.fabric_domain != domain.name || record.members.empty()) {
      continue;
    }
    input.groups.push_back(record);
    const BackendServer* head =
        this->parts.view->FindServer(record.members.front());
    if (head != nullptr && IsIn(*head, record) &&
        head->membership->state == MembershipState::kBroken) {
      input.broken_groups.insert(record.group);
    }
  }
  return input;
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

void GroupDriver::WorkOn(const Domain& domain) {
  DomainPlan plan = PlanDomain(this->MakeInput(domain));
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
                        this->DriveGroup(record, yield);
                      });
    }
  }
  for (const BackendServer* server : domain.servers) {
    if (members.count(server->id) == 0 && server->membership &&
        server->membership->group != StandbyName(server->id) &&
        this->parts.view->IsReachable(server->id)) {
      this->StartOnce("server " + server->id,
                      [this, copy = *server](Coroutine yield) {
                        this->LeaveGroup(copy, yield);
                      });
    }
  }
  for (const StandbyAssignment& standby : plan.standbys) {
    this->StartOnce("server " + standby.server,
                    [this, standby](Coroutine yield) {
                      this->PrepareStandby(standby, yield);
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

OrderOutcome GroupDriver::Send(const BackendServer& server,
                               GroupOrder order,
                               const GroupRecord& record,
                               Coroutine yield) {
  const OrderOutcome outcome =
      this->parts.engines->Send(server, order, record, kOrderTimeout, yield);
  LogInfo("order_sent", {{"server", server.id},
                         {"order", ToString(order)},
                         {"group", record.group},
                         {"epoch", record.epoch},
                         {"outcome", ToString(outcome)}});
  if (outcome == OrderOutcome::kUnreachable ||
      outcome == OrderOutcome::kUnknown) {
    this->parts.prober->Probe({server.id});
  }
  return outcome;
}

bool GroupDriver::IsCurrent(const GroupRecord& record) const {
  const GroupStatus* status = this->parts.view->FindGroup(record.group);
  if (status == nullptr || status->record.epoch != record.epoch) {
    return false;
  }
  const BackendServer* head =
      record.members.empty()
          ? nullptr
          : this->parts.view->FindServer(record.members.front());
  return head == nullptr || this->parts.role->IsMine(head->failure_domain);
}

void GroupDriver::DriveGroup(const GroupRecord& record, Coroutine yield) {
  this->CloseOldHeads(record, yield);
  if (!this->IsCurrent(record)) {
    return;
  }
  if (record.members.empty()) {
    this->Dissolve(record, yield);
  } else if (this->JoinMembers(record, yield)) {
    this->OpenHead(record, yield);
  }
}

void GroupDriver::CloseOldHeads(const GroupRecord& record, Coroutine yield) {
  const GroupStatus* status = this->parts.view->FindGroup(record.group);
  std::vector<std::function<void(Coroutine)>> tasks;
  for (const auto& entry : this->parts.view->Servers()) {
    const BackendServer& server = entry.second;
    if (!server.membership || server.membership->group != record.group ||
        server.membership->epoch >= record.epoch ||
        server.membership->rank != 0 ||
        !this->parts.view->IsReachable(server.id)) {
      continue;
    }
    GroupRecord old = record;
    old.epoch = server.membership->epoch;
    // Requests can only finish while every member is there.
    const bool may_finish =
        server.membership->state == MembershipState::kOpen && status &&
        status->previous && status->previous->epoch == old.epoch &&
        this->parts.view->CanFinish(old.group, old.epoch);
    tasks.emplace_back([this, server, old, may_finish](Coroutine inner) {
      this->CloseHead(server, old, may_finish, inner);
    });
  }
  RunAll(this->parts.loop, std::move(tasks), yield);
}

void GroupDriver::CloseHead(const BackendServer& head,
                            const GroupRecord& old,
                            bool may_finish,
                            Coroutine yield) {
  const MonotonicTime deadline = this->parts.loop->Now() + kFinishTime;
  if (may_finish) {
    this->Send(head, GroupOrder::kClose, old, yield);
  }
  while (may_finish && this->parts.loop->Now() < deadline &&
         this->parts.view->CanFinish(old.group, old.epoch)) {
    const BackendServer* server = this->parts.view->FindServer(head.id);
    if (server == nullptr || !IsIn(*server, old) ||
        server->membership->state == MembershipState::kReady) {
      return;  // It has finished its requests.
    }
    this->parts.loop->Sleep(kJoinPoll, yield);
  }
  this->Send(head, GroupOrder::kPreempt, old, yield);
}

void GroupDriver::SendJoins(const GroupRecord& record,
                            const std::set<std::string>& ready,
                            Coroutine yield) {
  std::vector<std::function<void(Coroutine)>> tasks;
  for (const std::string& id : record.members) {
    const BackendServer* server = this->parts.view->FindServer(id);
    if (server == nullptr || ready.count(id) > 0 || IsIn(*server, record)) {
      continue;  // A member that is joining needs no second order.
    }
    tasks.emplace_back([this, copy = *server, &record](Coroutine inner) {
      this->Send(copy, GroupOrder::kJoin, record, inner);
    });
  }
  RunAll(this->parts.loop, std::move(tasks), yield);
}

std::set<std::string> GroupDriver::CollectReady(const GroupRecord& record,
                                                std::set<std::string> ready,
                                                Coroutine yield) {
  std::vector<std::function<void(Coroutine)>> tasks;
  for (const std::string& id : record.members) {
    const BackendServer* server = this->parts.view->FindServer(id);
    if (server == nullptr || ready.count(id) > 0) {
      continue;
    }
    if (IsIn(*server, record) && IsReadyState(server->membership->state)) {
      ready.insert(id);
      continue;
    }
    tasks.emplace_back(
        [this, copy = *server, &record, &ready](Coroutine inner) {
          const Result<EngineReport> report =
              this->parts.engines->Report(copy, kReportTimeout, inner);
          if (report.has_error()) {
            this->parts.prober->Probe({copy.id});
            return;
          }
          const auto& membership = report.value().membership;
          if (membership && membership->group == record.group &&
              membership->epoch == record.epoch &&
              IsReadyState(membership->state)) {
            ready.insert(copy.id);
          }
        });
  }
  RunAll(this->parts.loop, std::move(tasks), yield);
  return ready;
}

bool GroupDriver::JoinMembers(const GroupRecord& record, Coroutine yield) {
  std::set<std::string> ready = this->CollectReady(record, {}, yield);
  MonotonicTime joined_at{};
  while (this->IsCurrent(record)) {
    if (ready.size() == record.members.size()) {
      return true;
    }
    const MonotonicTime now = this->parts.loop->Now();
    if (now - joined_at > kRejoinAfter) {
      this->SendJoins(record, ready, yield);
      joined_at = now;
    }
    this->parts.loop->Sleep(kJoinPoll, yield);
    ready = this->CollectReady(record, std::move(ready), yield);
    for (const std::string& id : record.members) {
      if (this->parts.view->StandingOf(id) == ServerStanding::kLost) {
        return false;  // The planner replaces it.
      }
    }
  }
  return false;
}

void GroupDriver::OpenHead(const GroupRecord& record, Coroutine yield) {
  const BackendServer* head =
      this->parts.view->FindServer(record.members.front());
  if (head == nullptr || !this->IsCurrent(record)) {
    return;
  }
  const OrderOutcome outcome =
      this->Send(*head, GroupOrder::kOpen, record, yield);
  if (outcome != OrderOutcome::kBegan && outcome != OrderOutcome::kHolds) {
    return;  // The next tick looks again.
  }
  const auto service =
      this->parts.view->Config()->services.find(record.service);
  if (outcome == OrderOutcome::kBegan &&
      service != this->parts.view->Config()->services.end() &&
      service->second.engine) {
    this->parts.loop->Sleep(service->second.engine->forming, yield);
  }
  this->parts.view->SetOpen(record.group, record.epoch, true);
  this->parts.changed();
}

void GroupDriver::Dissolve(const GroupRecord& record, Coroutine yield) {
  std::vector<BackendServer> members;
  for (const auto& entry : this->parts.view->Servers()) {
    const BackendServer& server = entry.second;
    if (server.membership && server.membership->group == record.group &&
        this->parts.view->IsReachable(server.id)) {
      members.push_back(server);
    }
  }
  for (const BackendServer& server : members) {
    this->LeaveGroup(server, yield);
  }
}

void GroupDriver::LeaveGroup(const BackendServer& server, Coroutine yield) {
  GroupRecord left;
  left.group = server.membership->group;
  left.epoch = server.membership->epoch;
  if (server.membership->rank == 0 &&
      server.membership->state != MembershipState::kJoining) {
    this->Send(server, GroupOrder::kPreempt, left, yield);
  }
  this->Send(server, GroupOrder::kLeave, left, yield);
  // Its entry tells the change; until then nothing else is asked of it.
  this->parts.loop->Sleep(kDomainSettles, yield);
}

bool GroupDriver::TakeLoad(const BackendServer& server,
                           const std::string& model,
                           const EngineSpec& engine) {
  if (Contains(server.staged_models, model) ||
      !this->parts.view->HasTraffic()) {
    return true;
  }
  const MonotonicTime now = this->parts.loop->Now();
  while (!this->loads.empty() && now - this->loads.front() > kLoadWindow) {
    this->loads.pop_front();
  }
  const double allowed = engine.loads_per_second *
                         std::chrono::duration<double>(kLoadWindow).count() /
                         std::max(1, this->parts.peers->LiveNodes(now));
  if (static_cast<double>(this->loads.size()) + 1 > std::max(1.0, allowed)) {
    return false;
  }
  this->loads.push_back(now);
  return true;
}

void GroupDriver::PrepareStandby(const StandbyAssignment& standby,
                                 Coroutine yield) {
  const BackendServer* server = this->parts.view->FindServer(standby.server);
  if (server == nullptr) {
    return;
  }
  const BackendServer copy = *server;
  const auto service = this->parts.view->Config()->services.find(copy.service);
  if (service == this->parts.view->Config()->services.end() ||
      !service->second.engine ||
      !this->TakeLoad(copy, standby.model, *service->second.engine)) {
    return;
  }
  GroupRecord record;
  if (standby.stages_only) {
    record.model = standby.model;
    this->Send(copy, GroupOrder::kStage, record, yield);
    this->parts.loop->Sleep(kStageRetry, yield);
    return;
  }
  record.group = StandbyName(copy.id);
  record.epoch = std::max<std::int64_t>(this->parts.records->End(), 1);
  record.model = standby.model;
  record.members = {copy.id};
  this->Send(copy, GroupOrder::kJoin, record, yield);
  this->parts.loop->Sleep(kRejoinAfter, yield);
}

std::vector<GroupNews> GroupDriver::News() const {
  std::vector<GroupNews> news;
  std::map<std::string, bool> planned;  // By failure domain.
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
