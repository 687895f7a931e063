#include "control/group_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/logging.h"
#include "peers/overlay.h"

namespace kumquatcart {

namespace {

// Minimum time between reports of a group whose load alone has changed.
constexpr Duration kLoadInterval = std::chrono::seconds(5);

bool DiffersBeyondLoad(const ReplicaGroup& left, ReplicaGroup right) {
  right.load = left.load;
  return left != right;
}

std::set<NodeId> ListLiveNodes(const MemberTable& members) {
  std::set<NodeId> live;
  for (const auto& [id, member] : members.members) {
    if (member.state != MemberState::kDead) {
      live.insert(id);
    }
  }
  return live;
}

// A higher epoch takes precedence. Within an epoch, any other state takes
// precedence over kWhole.
bool TakesPrecedence(const ReplicaGroup& reported, const GroupTable& table) {
  const auto known = table.groups.find(reported.claim.group);
  if (known == table.groups.end()) {
    return true;
  }
  const GroupEpoch epoch = known->second.claim.epoch;
  return reported.claim.epoch > epoch || (reported.claim.epoch == epoch &&
                                          reported.state != GroupState::kWhole);
}

// Adds the reported groups that belong to the failure domain of `reporter`.
void AddReport(const NodeIdentity& reporter,
               const ReportEntries& entries,
               GroupTable* table) {
  for (const auto& [name, summary] : entries) {
    const GroupId id(name);
    Result<ReplicaGroup> group = FromSummary(id, summary);
    const bool valid = group.has_value() &&
                       group.value().failure_domain == reporter.failure_domain;
    if (!valid) {
      LogWarning("group_summary_refused",
                 {{"group", id}, {"node", reporter.id}});
    } else if (TakesPrecedence(group.value(), *table)) {
      table->groups[id] = std::move(group.value());
    }
  }
}

}  // namespace

Json ToSummary(const ReplicaGroup& group) {
  const EngineClaim& claim = group.claim;
  return Json::array({claim.epoch, claim.service, claim.version, claim.role,
                      group.state, group.failure_domain, group.fabric_domain,
                      group.leader.host, group.leader.port, group.accelerators,
                      group.load.running, group.load.queued,
                      group.load.capacity});
}

Result<ReplicaGroup> FromSummary(const GroupId& id, const Json& summary) {
  try {
    ReplicaGroup group;
    group.claim.group = id;
    group.claim.epoch = summary.at(0).get<GroupEpoch>();
    group.claim.service = summary.at(1).get<ServiceName>();
    group.claim.version = summary.at(2).get<std::string>();
    group.claim.role = summary.at(3).get<EngineRole>();
    group.state = summary.at(4).get<GroupState>();
    group.failure_domain = summary.at(5).get<FailureDomainId>();
    group.fabric_domain = summary.at(6).get<FabricDomainId>();
    group.leader.host = summary.at(7).get<std::string>();
    group.leader.port = summary.at(8).get<std::uint16_t>();
    group.accelerators = summary.at(9).get<int>();
    group.load.running = summary.at(10).get<int>();
    group.load.queued = summary.at(11).get<int>();
    group.load.capacity = summary.at(12).get<int>();
    return group;
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument, error.what());
  }
}

GroupExchange::GroupExchange(Clock* clock, Board* board, PeerNetwork* network)
    : clock(clock),
      board(board),
      network(network),
      topic(std::make_shared<ReportTopic>(kGroupTopic,
                                          TopicScope::kEverywhere,
                                          board->identity.id)) {}

void GroupExchange::RegisterTopic() {
  this->network->AddTopic(this->topic);
}

void GroupExchange::Report(const GroupTable& groups) {
  ReportEntries entries;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto members = this->board->members.Read();
    if (IsGroupReporter(*members, this->board->identity)) {
      for (const auto& [id, group] : groups.groups) {
        if (group.failure_domain == this->board->identity.failure_domain) {
          entries[id.value] = ToSummary(this->LimitLoadReports(group));
        }
      }
    }
  }
  if (this->topic->SetOwnReport(entries)) {
    this->network->SchedulePush(kGroupTopic);
  }
}

ReplicaGroup GroupExchange::LimitLoadReports(const ReplicaGroup& group) {
  const MonotonicTime now = this->clock->Now();
  LastReport& last = this->last_reports[group.claim.group];
  const bool due = now - last.at >= kLoadInterval;
  if (due || DiffersBeyondLoad(last.group, group)) {
    last = {group, now};
  }
  return last.group;
}

GroupTable GroupExchange::RemoteGroups() {
  const auto members = this->board->members.Read();
  this->topic->RetainReporters(ListLiveNodes(*members));
  GroupTable table;
  for (const auto& [reporter, entries] : this->topic->Reports()) {
    const auto member = members->members.find(reporter);
    if (member == members->members.end() ||
        member->second.identity.failure_domain ==
            this->board->identity.failure_domain) {
      continue;
    }
    AddReport(member->second.identity, entries, &table);
  }
  return table;
}

}  // namespace kumquatcart
