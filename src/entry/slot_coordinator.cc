#include "entry/slot_coordinator.h"

#include <map>
#include <optional>

namespace kumquatcart {

namespace {

// Time for which a granted prompt counts as unread, until a digest of its node
// says so.
constexpr Duration kPrefillReportLifetime = std::chrono::milliseconds(400);

}  // namespace

void SlotCoordinator::Reply(const RequestKey& key, SlotReply reply) {
  reply.node = this->node;
  reply.id = key.second;
  this->network->Send(key.first, reply);
}

void SlotCoordinator::HandleAsk(const SlotAsk& ask) {
  const RequestKey key{ask.node, ask.id};
  SlotReply reply;
  const SlotLease* lease = this->ledger.Find(ask.node, ask.id);
  if (lease != nullptr) {  // The grant was lost.
    reply.state = SlotState::kGranted;
    reply.group = lease->group;
    reply.epoch = lease->epoch;
    reply.server = lease->server;
    this->Reply(key, reply);
    return;
  }
  if (this->queued.count(key) > 0) {
    reply.state = SlotState::kQueued;
    this->Reply(key, reply);
    return;
  }
  if (!this->is_ready() || !this->balancer->CanAssign(ask.service, ask.model)) {
    this->Reply(key, reply);
    return;
  }
  this->Queue(key, ask);
}

void SlotCoordinator::Queue(const RequestKey& key, const SlotAsk& ask) {
  const MonotonicTime now = this->network->Now();
  SlotQuery query;
  query.service = ask.service;
  query.model = ask.model;
  query.excluded.insert(ask.excluded.begin(), ask.excluded.end());
  query.prompt_tokens = ask.prompt_tokens;
  query.gap_target = std::chrono::microseconds(ask.gap_target_us);
  query.latest_start = now + std::chrono::microseconds(ask.start_in_us);
  query.wait_until = now + std::chrono::microseconds(ask.wait_us);
  SlotRequestPtr request = this->balancer->EnqueueForPeer(
      query, [this, key, tokens = ask.prompt_tokens](const GroupRecord& group) {
        this->Grant(key, tokens, group);
      });
  if (request->IsGranted()) {
    return;
  }
  SlotReply reply;
  SlotResult rejection;
  const std::optional<MonotonicTime> deadline =
      this->balancer->DecideWait(*request, &rejection);
  reply.state = deadline ? SlotState::kQueued : SlotState::kRejected;
  reply.retry_after_us = std::chrono::duration_cast<std::chrono::microseconds>(
                             rejection.retry_after)
                             .count();
  if (deadline) {
    this->queued[key] = {std::move(request), *deadline};
  }
  this->Reply(key, reply);
}

void SlotCoordinator::Grant(const RequestKey& key,
                            std::int64_t prompt_tokens,
                            const GroupRecord& group) {
  const MonotonicTime now = this->network->Now();
  const std::string& server = group.members.front();
  this->ledger.Grant(key.first, key.second,
                     {server, group.group, group.epoch, now});
  this->counts.unread->Adjust(key.first, this->failure_domain, server,
                              static_cast<int>(prompt_tokens),
                              now + kPrefillReportLifetime);
  SlotReply reply;
  reply.state = SlotState::kGranted;
  reply.group = group.group;
  reply.epoch = group.epoch;
  reply.server = server;
  this->Reply(key, reply);
  this->queued.erase(key);
}

void SlotCoordinator::HandleReturn(const SlotReturn& slot) {
  this->queued.erase({slot.node, slot.id});
  const SlotLease* lease = this->ledger.Find(slot.node, slot.id);
  if (lease == nullptr) {
    return;
  }
  const std::string group = lease->group;
  this->ledger.Return(slot.node, slot.id, this->network->Now());
  this->balancer->HandleRelease(group);
}

void SlotCoordinator::HandleReport(const SlotReport& report) {
  std::map<std::int64_t, std::string> held;
  for (const HeldSlot& slot : report.held) {
    held.emplace(slot.id, slot.server);
  }
  this->ledger.AcceptReport(report.node, held, this->network->Now());
  this->balancer->AssignFreeSlots();
}

void SlotCoordinator::DropStale() {
  const MonotonicTime now = this->network->Now();
  for (auto ask = this->queued.begin(); ask != this->queued.end();) {
    ask =
        ask->second.expires_at < now ? this->queued.erase(ask) : std::next(ask);
  }
  this->ledger.DropSilent(now);
}

}  // namespace kumquatcart
