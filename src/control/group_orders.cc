#include "control/group_orders.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "control/standby_name.h"
#include "net/run_all.h"

namespace kumquatcart {

namespace {

// Servers answer an order within a few milliseconds. The timeout also covers
// one TCP retransmission, which follows a lost packet after 200 ms.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(300);
constexpr Duration kReportTimeout = std::chrono::milliseconds(260);
// Interval between status checks of joining members.
constexpr Duration kMemberPollInterval = std::chrono::milliseconds(80);
// Join orders without effect are resent after this time.
constexpr Duration kJoinResendDelay = std::chrono::milliseconds(1500);
// Time until a server's report reflects an order that it has accepted.
constexpr Duration kReportDelay = std::chrono::milliseconds(200);
// Time for a group to finish its requests when a member leaves for planned
// maintenance. Shorter than the minimum time for which a leaving server keeps
// running.
constexpr Duration kFinishTimeout = std::chrono::milliseconds(1800);
// Time until a server's entry in the store reflects an order.
constexpr Duration kEntryUpdateDelay = std::chrono::milliseconds(350);

// Whether the server would leave a group that it serves in by joining the group
// of `record`.
bool IsInOtherGroup(const BackendServer& server, const GroupRecord& record) {
  return server.membership && server.membership->group != record.group &&
         server.membership->group != StandbyGroupName(server.id);
}

bool IsReadyState(MembershipState state) {
  return state == MembershipState::kReady || state == MembershipState::kOpen;
}

// Logs why the member at `rank` counts as ready. `source`: what `membership`
// was read from.
void LogReadyMember(const BackendServer& server,
                    const GroupRecord& record,
                    std::size_t rank,
                    const GroupMembership& membership,
                    const char* source,
                    std::int64_t source_started_ms) {
  LogInfo("member_ready",
          {{"group", membership.group},
           {"epoch", membership.epoch},
           {"server", server.id},
           {"address", server.endpoint.ToString()},
           {"recorded_started_ms", rank < record.member_starts.size()
                                       ? record.member_starts[rank]
                                       : std::int64_t{0}},
           {"started_ms", server.started_ms},
           {"source", source},
           {"source_started_ms", source_started_ms},
           {"rank", membership.rank},
           {"state", ToString(membership.state)}});
}

}  // namespace

OrderOutcome GroupOrders::Send(const BackendServer& server,
                               GroupOrder order,
                               const GroupRecord& record,
                               std::optional<std::int64_t> expected_orders,
                               Coroutine yield) {
  const OrderOutcome outcome = this->parts->engines->Send(
      server, order, record, expected_orders, kOrderTimeout, yield);
  LogInfo("order_sent",
          {{"server", server.id},
           {"order", ToString(order)},
           {"group", record.group},
           {"epoch", record.epoch},
           {"known_group",
            server.membership ? server.membership->group : std::string()},
           {"known_epoch", server.membership ? server.membership->epoch : 0},
           {"expected_orders", expected_orders.value_or(-1)},
           {"outcome", ToString(outcome)}});
  if (outcome == OrderOutcome::kUnreachable ||
      outcome == OrderOutcome::kUnknown) {
    this->parts->prober->Probe({server.id});
  } else if (outcome == OrderOutcome::kWrongServer) {
    this->parts->prober->HandleWrongServer(server);
  }
  return outcome;
}

OrderOutcome GroupOrders::Join(const BackendServer& server,
                               const GroupRecord& record,
                               Coroutine yield) {
  const Result<EngineReport> report =
      this->parts->engines->Report(server, kReportTimeout, yield);
  if (report.has_error()) {
    this->parts->prober->Probe({server.id});
    return OrderOutcome::kUnreachable;
  }
  BackendServer current = server;
  current.membership = report.value().membership;
  if (IsInOtherGroup(current, record)) {
    // A later group may have a record that this VM has not read.
    const bool may_leave = current.membership->epoch < record.epoch &&
                           this->IsCurrent(record) &&
                           this->parts->view->IsLatestClaim(record, server.id);
    LogInfo("join_put_off", {{"server", server.id},
                             {"group", record.group},
                             {"epoch", record.epoch},
                             {"member_of", current.membership->group},
                             {"member_epoch", current.membership->epoch},
                             {"state", ToString(current.membership->state)},
                             {"leaves", may_leave ? 1 : 0}});
    if (may_leave) {
      this->LeaveGroup(current, yield);
    }
    return OrderOutcome::kConflict;
  }
  return this->Send(current, GroupOrder::kJoin, record,
                    report.value().orders_accepted, yield);
}

bool GroupOrders::IsCurrent(const GroupRecord& record) const {
  const GroupStatus* status = this->parts->view->FindGroup(record.group);
  if (status == nullptr || status->record.epoch != record.epoch) {
    return false;
  }
  const BackendServer* head =
      record.members.empty()
          ? nullptr
          : this->parts->view->FindServer(record.members.front());
  return head == nullptr ||
         this->parts->role->IsPlannerOf(head->failure_domain);
}

void GroupOrders::Reconcile(const GroupRecord& record, Coroutine yield) {
  this->ClosePreviousHeads(record, yield);
  if (!this->IsCurrent(record)) {
    return;
  }
  if (this->JoinMembers(record, yield)) {
    this->OpenHead(record, yield);
  }
}

void GroupOrders::ClosePreviousHeads(const GroupRecord& record,
                                     Coroutine yield) {
  const GroupStatus* status = this->parts->view->FindGroup(record.group);
  std::vector<std::function<void(Coroutine)>> tasks;
  for (const auto& entry : this->parts->view->Servers()) {
    const BackendServer& server = entry.second;
    if (!server.membership || server.membership->group != record.group ||
        server.membership->epoch >= record.epoch ||
        server.membership->rank != 0 ||
        !this->parts->view->IsReachable(server.id)) {
      continue;
    }
    GroupRecord old = record;
    old.epoch = server.membership->epoch;
    // Requests can finish only while every member is available.
    const bool may_finish =
        server.membership->state == MembershipState::kOpen && status &&
        status->previous && status->previous->epoch == old.epoch &&
        this->parts->view->CanFinishRequests(old.group, old.epoch);
    tasks.emplace_back([this, server, old, may_finish](Coroutine inner) {
      this->CloseHead(server, old, may_finish, inner);
    });
  }
  RunAll(this->parts->loop, std::move(tasks), yield);
}

void GroupOrders::CloseHead(const BackendServer& head,
                            const GroupRecord& old,
                            bool may_finish,
                            Coroutine yield) {
  const MonotonicTime deadline = this->parts->loop->Now() + kFinishTimeout;
  if (may_finish) {
    this->Send(head, GroupOrder::kClose, old, std::nullopt, yield);
  }
  while (may_finish && this->parts->loop->Now() < deadline &&
         this->parts->view->CanFinishRequests(old.group, old.epoch)) {
    const BackendServer* server = this->parts->view->FindServer(head.id);
    if (server == nullptr || !IsMemberOf(*server, old) ||
        server->membership->state == MembershipState::kReady) {
      return;  // The head has finished its requests.
    }
    this->parts->loop->Sleep(kMemberPollInterval, yield);
  }
  this->Send(head, GroupOrder::kPreempt, old, std::nullopt, yield);
}

void GroupOrders::SendJoins(const GroupRecord& record,
                            const std::set<std::string>& ready,
                            std::map<std::string, MonotonicTime>* ordered_at,
                            Coroutine yield) {
  const MonotonicTime now = this->parts->loop->Now();
  std::vector<std::function<void(Coroutine)>> tasks;
  for (const std::string& id : record.members) {
    const BackendServer* server = this->parts->view->FindServer(id);
    if (server == nullptr || ready.count(id) > 0 ||
        IsMemberOf(*server, record)) {
      continue;  // The member is already joining or ready.
    }
    if (!this->parts->view->IsLatestClaim(record, id)) {
      continue;  // The planner replaces the member.
    }
    const auto ordered = ordered_at->find(id);
    if ((ordered != ordered_at->end() &&
         now - ordered->second <= kJoinResendDelay) ||
        !this->loads->TryCount(*server, record.model, LoadPurpose::kGroup)) {
      continue;
    }
    (*ordered_at)[id] = now;
    tasks.emplace_back([this, copy = *server, &record, ordered_at,
                        now](Coroutine inner) {
      const bool is_member =
          copy.membership && copy.membership->group == record.group;
      const OrderOutcome outcome =
          is_member
              ? this->Send(copy, GroupOrder::kJoin, record, std::nullopt, inner)
              : this->Join(copy, record, inner);
      if (!MayHaveBegun(outcome)) {
        this->loads->Refund(copy, record.model);
      }
      if (outcome == OrderOutcome::kConflict) {
        (*ordered_at)[copy.id] = now - kJoinResendDelay + kReportDelay;
      }
    });
  }
  RunAll(this->parts->loop, std::move(tasks), yield);
}

std::set<std::string> GroupOrders::CollectReadyMembers(
    const GroupRecord& record,
    std::set<std::string> ready,
    Coroutine yield) {
  std::vector<std::function<void(Coroutine)>> tasks;
  for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
    const std::string& id = record.members[rank];
    const BackendServer* server = this->parts->view->FindServer(id);
    if (server == nullptr || ready.count(id) > 0) {
      continue;
    }
    if (IsMembershipAt(server->membership, record, rank) &&
        IsReadyState(server->membership->state)) {
      LogReadyMember(*server, record, rank, *server->membership, "entry",
                     server->started_ms);
      ready.insert(id);
      continue;
    }
    tasks.emplace_back(
        [this, copy = *server, rank, &record, &ready](Coroutine inner) {
          const Result<EngineReport> report =
              this->parts->engines->Report(copy, kReportTimeout, inner);
          if (report.has_error()) {
            this->parts->prober->Probe({copy.id});
            return;
          }
          const auto& membership = report.value().membership;
          if (IsMembershipAt(membership, record, rank) &&
              IsReadyState(membership->state)) {
            LogReadyMember(copy, record, rank, *membership, "report",
                           report.value().started_ms);
            ready.insert(copy.id);
          }
        });
  }
  RunAll(this->parts->loop, std::move(tasks), yield);
  return ready;
}

bool GroupOrders::JoinMembers(const GroupRecord& record, Coroutine yield) {
  std::set<std::string> ready = this->CollectReadyMembers(record, {}, yield);
  std::map<std::string, MonotonicTime> ordered_at;
  while (this->IsCurrent(record)) {
    if (ready.size() == record.members.size()) {
      return true;
    }
    this->SendJoins(record, ready, &ordered_at, yield);
    this->parts->loop->Sleep(kMemberPollInterval, yield);
    ready = this->CollectReadyMembers(record, std::move(ready), yield);
    for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
      if (this->parts->view->MemberAvailability(record, rank) ==
          ServerAvailability::kLost) {
        return false;  // The planner replaces the member.
      }
    }
  }
  return false;
}

void GroupOrders::OpenHead(const GroupRecord& record, Coroutine yield) {
  const BackendServer* head =
      this->parts->view->FindServer(record.members.front());
  if (head == nullptr || !this->IsCurrent(record)) {
    return;
  }
  const OrderOutcome outcome =
      this->Send(*head, GroupOrder::kOpen, record, std::nullopt, yield);
  if (outcome != OrderOutcome::kBegan && outcome != OrderOutcome::kHolds) {
    return;  // Retried by the next planning pass.
  }
  const auto service =
      this->parts->view->Config()->services.find(record.service);
  if (outcome == OrderOutcome::kBegan &&
      service != this->parts->view->Config()->services.end() &&
      service->second.engine) {
    this->parts->loop->Sleep(service->second.engine->forming, yield);
  }
  this->parts->view->SetOpen(record.group, record.epoch, true);
  this->parts->changed();
}

bool GroupOrders::HasServingHead(const GroupMembership& membership) const {
  const auto& servers = this->parts->view->Servers();
  return std::any_of(
      servers.begin(), servers.end(), [this, &membership](const auto& entry) {
        const auto& head = entry.second.membership;
        return head && head->rank == 0 && head->group == membership.group &&
               head->epoch == membership.epoch &&
               (head->state == MembershipState::kOpen ||
                head->state == MembershipState::kClosing) &&
               this->parts->view->IsReachable(entry.first);
      });
}

void GroupOrders::LeaveGroup(const BackendServer& server, Coroutine yield) {
  if (server.membership->rank != 0 &&
      this->HasServingHead(*server.membership)) {
    // The head is ordered to close first.
    this->parts->loop->Sleep(kEntryUpdateDelay, yield);
    return;
  }
  GroupRecord former;
  former.group = server.membership->group;
  former.epoch = server.membership->epoch;
  if (server.membership->rank == 0 &&
      server.membership->state != MembershipState::kJoining) {
    this->Send(server, GroupOrder::kPreempt, former, std::nullopt, yield);
  }
  this->Send(server, GroupOrder::kLeave, former, std::nullopt, yield);
  // Sends no other order until the server's entry in the store reflects this
  // one.
  this->parts->loop->Sleep(kEntryUpdateDelay, yield);
}

}  // namespace kumquatcart
