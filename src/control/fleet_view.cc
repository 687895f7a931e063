#include "control/fleet_view.h"

#include <algorithm>

#include "base/logging.h"

namespace kumquatcart {

namespace {

// A server that is leaving may lose its entry and get it back meanwhile; the
// store's older copies show entries of some seconds before.
constexpr Duration kLeavingLifetime = std::chrono::seconds(60);

}  // namespace

bool FleetView::AdoptConfig(std::shared_ptr<const RoutingConfig> config) {
  if (this->config != nullptr && config->version <= this->config->version) {
    return false;
  }
  LogInfo("config_adopted",
          {{"version", config->version},
           {"previous", this->config ? this->config->version : 0},
           {"routes", config->routes.size()},
           {"idle_timeout_ms", ToMillis(config->limits.idle_timeout)}});
  this->config = std::move(config);
  return true;
}

bool FleetView::SetLeaving(const std::string& id,
                           std::int64_t started_ms,
                           MonotonicTime now) {
  const auto known = this->servers.find(id);
  if (known == this->servers.end() || known->second.started_ms != started_ms ||
      known->second.draining) {
    return false;
  }
  this->leaving[id] = {started_ms, now};
  known->second.draining = true;
  this->statements[id].statement.draining = true;
  ++this->change_count;
  return true;
}

bool FleetView::IsLeaving(const BackendServer& server) const {
  const auto found = this->leaving.find(server.id);
  return found != this->leaving.end() &&
         found->second.started_ms == server.started_ms;
}

bool FleetView::IsOutdated(const BackendServer& entry,
                           bool is_from_copy) const {
  const auto known = this->statements.find(entry.id);
  if (known == this->statements.end() || entry.started_ms == 0 ||
      known->second.statement.started_ms == 0) {
    return false;
  }
  const Statement& newest = known->second.statement;
  const Statement stated{entry.started_ms, entry.orders_accepted,
                         entry.draining || this->IsLeaving(entry),
                         /*is_removed=*/false};
  return stated < Statement{newest.started_ms, newest.orders_accepted,
                            newest.draining, newest.is_removed && is_from_copy};
}

bool FleetView::IsNews(const BackendServer& entry, bool is_removed) const {
  const auto known = this->statements.find(entry.id);
  return known == this->statements.end() ||
         known->second.statement < Statement{entry.started_ms,
                                             entry.orders_accepted,
                                             entry.draining, is_removed};
}

void FleetView::NoteRemoved(const BackendServer& entry, MonotonicTime now) {
  this->NoteStatement(entry.id,
                      {entry.started_ms, entry.orders_accepted, entry.draining,
                       /*is_removed=*/true},
                      now);
}

void FleetView::PutServer(const BackendServer& entry, MonotonicTime now) {
  BackendServer server = entry;
  server.draining = entry.draining || this->IsLeaving(entry);
  const auto known = this->servers.find(server.id);
  const bool is_new = known == this->servers.end();
  if (!is_new && server.started_ms < known->second.started_ms) {
    LogWarning("server_entry_ignored",
               {{"server", server.id}, {"reason", "earlier start"}});
    return;
  }
  this->pending_removals.erase(server.id);
  this->unregistered.erase(server.id);
  if (!is_new && server.started_ms > known->second.started_ms) {
    // That the former start did not answer says nothing of this one.
    this->unreachable.erase(server.id);
  }
  if (is_new) {
    this->newest_server_times[server.fabric_domain] = now;
  }
  if (is_new || known->second.draining != server.draining ||
      known->second.started_ms != server.started_ms) {
    LogInfo("server_known", {{"server", server.id},
                             {"service", server.service},
                             {"address", server.endpoint.ToString()},
                             {"started_ms", server.started_ms},
                             {"domain", server.fabric_domain},
                             {"draining", server.draining ? 1 : 0}});
  }
  const bool is_new_holder = is_new ||
                             known->second.started_ms != server.started_ms ||
                             known->second.endpoint != server.endpoint;
  this->servers[server.id] = server;
  this->NoteStatement(server.id,
                      {server.started_ms, server.orders_accepted,
                       server.draining, /*is_removed=*/false},
                      now);
  ++this->change_count;
  if (is_new_holder) {
    this->MarkFormerHolder(server, now);
  }
  if (!server.membership || server.membership->rank != 0) {
    return;
  }
  const GroupMembership& membership = *server.membership;
  if (membership.state == MembershipState::kOpen) {
    this->SetOpen(membership.group, membership.epoch, true);
  } else if (membership.state == MembershipState::kBroken) {
    this->SetOpen(membership.group, membership.epoch, false);
  }
}

void FleetView::MarkFormerHolder(const BackendServer& server,
                                 MonotonicTime now) {
  if (server.started_ms == 0) {
    return;
  }
  const auto [entry, is_first] =
      this->address_holders.emplace(server.endpoint, server.id);
  if (is_first || entry->second == server.id) {
    return;
  }
  const BackendServer* holder = this->FindServer(entry->second);
  if (holder == nullptr || holder->endpoint != server.endpoint) {
    entry->second = server.id;
    return;
  }
  if (holder->started_ms == server.started_ms) {
    return;  // Nothing tells which of them has the address.
  }
  const bool is_newer = holder->started_ms < server.started_ms;
  const std::string former = is_newer ? holder->id : server.id;
  entry->second = is_newer ? server.id : holder->id;
  this->SetReachable(former, false, now);
}

void FleetView::RemoveServer(const std::string& id, MonotonicTime effective) {
  if (this->servers.count(id) > 0) {
    MonotonicTime& scheduled =
        this->pending_removals.emplace(id, effective).first->second;
    scheduled = std::min(scheduled, effective);
  }
}

void FleetView::RemoveLostServer(const std::string& id,
                                 MonotonicTime effective) {
  const auto known = this->statements.find(id);
  if (known == this->statements.end() || !known->second.statement.is_removed) {
    this->pending_removals.erase(id);
  }
  this->RemoveServer(id, effective);
}

void FleetView::NoteRemoval(const std::string& id, MonotonicTime now) {
  const auto known = this->statements.find(id);
  if (known != this->statements.end()) {
    known->second.statement.is_removed = true;
    known->second.known_at = now;
  }
}

void FleetView::ExpireServers(MonotonicTime now) {
  for (auto start = this->leaving.begin(); start != this->leaving.end();) {
    start = this->servers.count(start->first) == 0 &&
                    now - start->second.known_at > kLeavingLifetime
                ? this->leaving.erase(start)
                : std::next(start);
  }
  for (auto known = this->statements.begin();
       known != this->statements.end();) {
    known = known->second.statement.is_removed &&
                    now - known->second.known_at > kLeavingLifetime
                ? this->statements.erase(known)
                : std::next(known);
  }
  for (auto entry = this->pending_removals.begin();
       entry != this->pending_removals.end();) {
    if (entry->second > now) {
      ++entry;
      continue;
    }
    const bool is_member = this->IsMember(entry->first);
    LogInfo("server_removed",
            {{"server", entry->first}, {"member", is_member ? 1 : 0}});
    KnownStatement& known = this->statements[entry->first];
    known.statement.is_removed = true;
    known.known_at = now;
    if (is_member && this->IsReachable(entry->first)) {
      this->unregistered.insert(entry->first);
    } else {
      this->servers.erase(entry->first);
      this->unreachable.erase(entry->first);
    }
    entry = this->pending_removals.erase(entry);
    ++this->change_count;
  }
  this->RemoveFormerMembers();
}

void FleetView::RemoveFormerMembers() {
  for (auto id = this->unregistered.begin(); id != this->unregistered.end();) {
    if (this->IsMember(*id)) {
      ++id;
      continue;
    }
    this->servers.erase(*id);
    id = this->unregistered.erase(id);
    ++this->change_count;
  }
}

bool FleetView::IsMember(const std::string& id) const {
  return std::any_of(
      this->groups.begin(), this->groups.end(), [&id](const auto& entry) {
        const std::vector<std::string>& members = entry.second.record.members;
        return std::find(members.begin(), members.end(), id) != members.end();
      });
}

const BackendServer* FleetView::FindServer(const std::string& id) const {
  const auto found = this->servers.find(id);
  return found == this->servers.end() ? nullptr : &found->second;
}

MonotonicTime FleetView::NewestServerSeenAt(
    const std::string& fabric_domain) const {
  const auto found = this->newest_server_times.find(fabric_domain);
  return found == this->newest_server_times.end() ? MonotonicTime{}
                                                  : found->second;
}

bool FleetView::PutRecord(const GroupRecord& record) {
  GroupStatus& status = this->groups[record.group];
  if (record.epoch <= status.record.epoch) {
    return false;
  }
  this->UpdateClaims(status.record, record);
  if (!status.record.members.empty()) {
    status.previous = status.record;
  }
  status.record = record;
  status.open = false;
  ++this->change_count;
  LogInfo("group_recorded", {{"group", record.group},
                             {"epoch", record.epoch},
                             {"model", record.model},
                             {"members", record.members.size()}});
  if (!record.members.empty()) {
    // The head may have opened before this process received the record.
    const BackendServer* head = this->FindServer(record.members.front());
    status.open = head != nullptr && IsMemberOf(*head, record) &&
                  head->membership->state == MembershipState::kOpen;
  }
  return true;
}

void FleetView::UpdateClaims(const GroupRecord& former,
                             const GroupRecord& record) {
  for (const std::string& id : former.members) {
    std::map<std::string, std::int64_t>& groups_of = this->claims[id];
    groups_of.erase(record.group);
    if (groups_of.empty()) {
      this->claims.erase(id);
    }
  }
  for (const std::string& id : record.members) {
    std::map<std::string, std::int64_t>& groups_of = this->claims[id];
    groups_of[record.group] = record.epoch;
    if (groups_of.size() > 1) {
      LogWarning("server_in_two_groups", {{"server", id},
                                          {"group", record.group},
                                          {"epoch", record.epoch},
                                          {"groups", groups_of.size()}});
    }
  }
}

bool FleetView::IsLatestClaim(const GroupRecord& record,
                              const std::string& server) const {
  const auto found = this->claims.find(server);
  return found == this->claims.end() ||
         std::none_of(found->second.begin(), found->second.end(),
                      [&record](const auto& claim) {
                        return claim.first != record.group &&
                               claim.second > record.epoch;
                      });
}

const GroupStatus* FleetView::FindGroup(const std::string& group) const {
  const auto found = this->groups.find(group);
  return found == this->groups.end() ? nullptr : &found->second;
}

void FleetView::SetOpen(const std::string& group,
                        std::int64_t epoch,
                        bool open) {
  const auto found = this->groups.find(group);
  if (found == this->groups.end() || found->second.record.epoch != epoch ||
      found->second.open == open) {
    return;
  }
  found->second.open = open;
  ++this->change_count;
  LogInfo(open ? "group_open" : "group_closed",
          {{"group", group}, {"epoch", epoch}});
}

void FleetView::SetReachable(const std::string& id,
                             bool reachable,
                             MonotonicTime now) {
  if (reachable) {
    if (this->unreachable.erase(id) > 0) {
      ++this->change_count;
      LogInfo("server_reachable", {{"server", id}});
    }
  } else if (this->unregistered.erase(id) > 0) {
    ++this->change_count;
    LogWarning("server_gone", {{"server", id}});
    this->servers.erase(id);
  } else if (this->unreachable.emplace(id, now).second) {
    ++this->change_count;
    LogWarning("server_unreachable", {{"server", id}});
  }
}

ServerAvailability FleetView::AvailabilityOf(const std::string& id) const {
  const BackendServer* server = this->FindServer(id);
  if (server == nullptr || !this->IsReachable(id)) {
    return ServerAvailability::kLost;
  }
  return server->draining || this->unregistered.count(id) > 0
             ? ServerAvailability::kLeaving
             : ServerAvailability::kUsable;
}

ServerAvailability FleetView::MemberAvailability(const GroupRecord& record,
                                                 std::size_t rank) const {
  const std::string& id = record.members[rank];
  const BackendServer* server = this->FindServer(id);
  return server != nullptr && (HasRestartedSince(*server, record, rank) ||
                               !this->IsLatestClaim(record, id))
             ? ServerAvailability::kLost
             : this->AvailabilityOf(id);
}

bool FleetView::SetEvacuated(const std::string& failure_domain,
                             bool evacuated,
                             MonotonicTime now) {
  const bool is_change = evacuated
                             ? this->evacuations.Order(failure_domain, now)
                             : this->evacuations.Lift(failure_domain, now);
  this->change_count += is_change ? 1 : 0;
  return is_change;
}

bool FleetView::Serves(const GroupStatus& status) const {
  const GroupRecord& record = status.record;
  if (!status.open || record.members.empty() ||
      !this->IsUsable(record.members.front()) ||
      this->IsEvacuated(
          this->FindServer(record.members.front())->failure_domain)) {
    return false;
  }
  for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
    if (this->MemberAvailability(record, rank) == ServerAvailability::kLost) {
      return false;
    }
  }
  return true;
}

bool FleetView::CanFinishRequests(const std::string& group,
                                  std::int64_t epoch) const {
  const GroupStatus* status = this->FindGroup(group);
  if (status == nullptr) {
    return true;
  }
  const GroupRecord* record = nullptr;
  bool is_newest = false;
  if (status->record.epoch == epoch) {
    record = &status->record;
    is_newest = true;
  } else if (status->previous && status->previous->epoch == epoch) {
    record = &*status->previous;  // The head may be finishing requests.
  }
  if (record == nullptr) {
    return true;
  }
  for (std::size_t rank = 0; rank < record->members.size(); ++rank) {
    const BackendServer* server = this->FindServer(record->members[rank]);
    // Members of the newest record are kept without an entry while they answer.
    const bool is_lost = server == nullptr
                             ? is_newest
                             : HasRestartedSince(*server, *record, rank);
    if (is_lost || !this->IsReachable(record->members[rank])) {
      return false;
    }
  }
  return true;
}

}  // namespace kumquatcart
