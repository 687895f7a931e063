#include "control/group_orders.h"

#include <functional>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "net/run_all.h"

namespace kumquatcart {

namespace {

// An order is answered within some milliseconds; a lost packet is sent again
// after 200 ms.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(300);
constexpr Duration kReportTimeout = std::chrono::milliseconds(260);
// Pause between two looks at members that are joining.
constexpr Duration kJoinPoll = std::chrono::milliseconds(80);
// After this, joins that show no effect are sent again.
constexpr Duration kRejoinAfter = std::chrono::milliseconds(1500);
// Time that a group which loses a member by planned work gets to finish its
// requests; below the shortest time for which a leaving server goes on.
constexpr Duration kFinishTime = std::chrono::milliseconds(1800);
// Time until a server's entry shows the effect of an order.
constexpr Duration kEntryDelay = std::chrono::milliseconds(350);

bool IsReadyState(MembershipState state) {
  return state == MembershipState::kReady || state == MembershipState::kOpen;
}

}  // namespace

OrderOutcome GroupOrders::Send(const BackendServer& server,
                               GroupOrder order,
                               const GroupRecord& record,
                               Coroutine yield) {
  const OrderOutcome outcome =
      this->parts->engines->Send(server, order, record, kOrderTimeout, yield);
  LogInfo("order_sent", {{"server", server.id},
                         {"order", ToString(order)},
                         {"group", record.group},
                         {"epoch", record.epoch},
                         {"outcome", ToString(outcome)}});
  if (outcome == OrderOutcome::kUnreachable ||
      outcome == OrderOutcome::kUnknown) {
    this->parts->prober->Probe({server.id});
  }
  return outcome;
}

bool GroupOrders::IsCurrent(const GroupRecord& record) const {
  const GroupStatus* status = this->parts->view->FindGroup(record.group);
  if (status == nullptr || status->record.epoch != record.epoch) {
    return false;
  }
  const BackendServer* head = this->parts->view->HeadOf(record);
  return head == nullptr || this->parts->role->IsMine(head->failure_domain);
}

void GroupOrders::Drive(const GroupRecord& record, Coroutine yield) {
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

void GroupOrders::CloseOldHeads(const GroupRecord& record, Coroutine yield) {
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
    // Requests can only finish while every member is there.
    const bool may_finish =
        server.membership->state == MembershipState::kOpen && status &&
        status->previous && status->previous->epoch == old.epoch &&
        this->parts->view->CanFinish(old.group, old.epoch);
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
  const MonotonicTime deadline = this->parts->loop->Now() + kFinishTime;
  if (may_finish) {
    this->Send(head, GroupOrder::kClose, old, yield);
  }
  while (may_finish && this->parts->loop->Now() < deadline &&
         this->parts->view->CanFinish(old.group, old.epoch)) {
    const BackendServer* server = this->parts->view->FindServer(head.id);
    if (server == nullptr || !IsMemberOf(*server, old) ||
        server->membership->state == MembershipState::kReady) {
      return;  // It has finished its requests.
    }
    this->parts->loop->Sleep(kJoinPoll, yield);
  }
  this->Send(head, GroupOrder::kPreempt, old, yield);
}

void GroupOrders::SendJoins(const GroupRecord& record,
                            const std::set<std::string>& ready,
                            Coroutine yield) {
  std::vector<std::function<void(Coroutine)>> tasks;
  for (const std::string& id : record.members) {
    const BackendServer* server = this->parts->view->FindServer(id);
    if (server == nullptr || ready.count(id) > 0 ||
        IsMemberOf(*server, record)) {
      continue;  // A member that is joining needs no second order.
    }
    tasks.emplace_back([this, copy = *server, &record](Coroutine inner) {
      this->Send(copy, GroupOrder::kJoin, record, inner);
    });
  }
  RunAll(this->parts->loop, std::move(tasks), yield);
}

std::set<std::string> GroupOrders::CollectReady(const GroupRecord& record,
                                                std::set<std::string> ready,
                                                Coroutine yield) {
  std::vector<std::function<void(Coroutine)>> tasks;
  for (const std::string& id : record.members) {
    const BackendServer* server = this->parts->view->FindServer(id);
    if (server == nullptr || ready.count(id) > 0) {
      continue;
    }
    if (IsMemberOf(*server, record) &&
        IsReadyState(server->membership->state)) {
      ready.insert(id);
      continue;
    }
    tasks.emplace_back(
        [this, copy = *server, &record, &ready](Coroutine inner) {
          const Result<EngineReport> report =
              this->parts->engines->Report(copy, kReportTimeout, inner);
          if (report.has_error()) {
            this->parts->prober->Probe({copy.id});
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
  RunAll(this->parts->loop, std::move(tasks), yield);
  return ready;
}

bool GroupOrders::JoinMembers(const GroupRecord& record, Coroutine yield) {
  std::set<std::string> ready = this->CollectReady(record, {}, yield);
  MonotonicTime joined_at{};
  while (this->IsCurrent(record)) {
    if (ready.size() == record.members.size()) {
      return true;
    }
    const MonotonicTime now = this->parts->loop->Now();
    if (now - joined_at > kRejoinAfter) {
      this->SendJoins(record, ready, yield);
      joined_at = now;
    }
    this->parts->loop->Sleep(kJoinPoll, yield);
    ready = this->CollectReady(record, std::move(ready), yield);
    for (const std::string& id : record.members) {
      if (this->parts->view->StandingOf(id) == ServerStanding::kLost) {
        return false;  // The planner replaces it.
      }
    }
  }
  return false;
}

void GroupOrders::OpenHead(const GroupRecord& record, Coroutine yield) {
  const BackendServer* head = this->parts->view->HeadOf(record);
  if (head == nullptr || !this->IsCurrent(record)) {
    return;
  }
  const OrderOutcome outcome =
      this->Send(*head, GroupOrder::kOpen, record, yield);
  if (outcome != OrderOutcome::kBegan && outcome != OrderOutcome::kHolds) {
    return;  // The next tick looks again.
  }
  const EngineSpec* engine =
      this->parts->view->Config()->FindEngine(record.service);
  if (outcome == OrderOutcome::kBegan && engine != nullptr) {
    this->parts->loop->Sleep(engine->forming, yield);
  }
  this->parts->view->SetOpen(record.group, record.epoch, true);
  this->parts->changed();
}

void GroupOrders::Dissolve(const GroupRecord& record, Coroutine yield) {
  std::vector<BackendServer> members;
  for (const auto& entry : this->parts->view->Servers()) {
    const BackendServer& server = entry.second;
    if (server.membership && server.membership->group == record.group &&
        this->parts->view->IsReachable(server.id)) {
      members.push_back(server);
    }
  }
  for (const BackendServer& server : members) {
    this->LeaveGroup(server, yield);
  }
}

void GroupOrders::LeaveGroup(const BackendServer& server, Coroutine yield) {
  GroupRecord left;
  left.group = server.membership->group;
  left.epoch = server.membership->epoch;
  if (server.membership->rank == 0 &&
      server.membership->state != MembershipState::kJoining) {
    this->Send(server, GroupOrder::kPreempt, left, yield);
  }
  this->Send(server, GroupOrder::kLeave, left, yield);
  // Its entry tells the change; until then nothing else is asked of it.
  this->parts->loop->Sleep(kEntryDelay, yield);
}

}  // namespace kumquatcart
