#include "control/lost_groups.h"

#include <algorithm>
#include <map>

#include "control/group_record_codec.h"
#include "control/standby_name.h"

namespace kumquatcart {

namespace {

bool IsLost(const GroupMembership& membership, const FleetView& view) {
  const GroupStatus* status = view.FindGroup(membership.group);
  return membership.epoch <= kMaxEpoch &&
         (status == nullptr || membership.epoch > status->record.epoch);
}

int SizeOfGroups(const FabricDomain& domain, const std::string& model) {
  const std::vector<ModelSpec>& models = domain.engine->models;
  const auto found = std::find_if(
      models.begin(), models.end(),
      [&model](const ModelSpec& one) { return one.name == model; });
  return found == models.end() ? 0 : found->group_size;
}

}  // namespace

LostGroups FindLostGroups(const FabricDomain& domain, const FleetView& view) {
  // Members by rank.
  std::map<GroupFormation, std::map<int, const BackendServer*>> formations;
  for (const BackendServer* server : domain.servers) {
    const auto& membership = server->membership;
    if (membership && membership->group != StandbyGroupName(server->id) &&
        IsLost(*membership, view)) {
      formations[{membership->group, membership->epoch}][membership->rank] =
          server;
    }
  }
  LostGroups lost;
  for (const auto& [formation, members] : formations) {
    const std::string& model = members.begin()->second->loaded_model;
    const int size = SizeOfGroups(domain, model);
    const bool is_whole =
        size > 0 && members.size() == static_cast<std::size_t>(size) &&
        members.begin()->first == 0 && members.rbegin()->first == size - 1 &&
        std::all_of(members.begin(), members.end(),
                    [&model](const auto& entry) {
                      return entry.second->loaded_model == model;
                    });
    if (!is_whole) {
      lost.partial.insert(formation);
      continue;
    }
    GroupRecord record;
    record.group = formation.first;
    record.epoch = formation.second;
    record.service = domain.service;
    record.model = model;
    record.fabric_domain = domain.name;
    for (const auto& entry : members) {
      record.members.push_back(entry.second->id);
      record.member_starts.push_back(entry.second->started_ms);
    }
    lost.whole.push_back(std::move(record));
  }
  return lost;
}

std::map<std::string, std::int64_t> RecordedEpochs(
    const std::string& fabric_domain,
    const FleetView& view) {
  std::map<std::string, std::int64_t> epochs;
  for (const auto& [group, status] : view.Groups()) {
    if (status.record.fabric_domain == fabric_domain) {
      epochs.emplace(group, status.record.epoch);
    }
  }
  return epochs;
}

bool HasLaterGroup(const GroupRecord& record, const FleetView& view) {
  return std::any_of(
      view.Groups().begin(), view.Groups().end(), [&record](const auto& entry) {
        const GroupRecord& other = entry.second.record;
        return other.group != record.group && other.epoch > record.epoch &&
               std::find_first_of(record.members.begin(), record.members.end(),
                                  other.members.begin(),
                                  other.members.end()) != record.members.end();
      });
}

std::int64_t HighestKnownEpoch(const FleetView& view) {
  std::int64_t highest = 0;
  for (const auto& entry : view.Groups()) {
    highest = std::max(highest, entry.second.record.epoch);
  }
  for (const auto& entry : view.Servers()) {
    const auto& membership = entry.second.membership;
    if (membership && membership->epoch <= kMaxEpoch) {
      highest = std::max(highest, membership->epoch);
    }
  }
  return highest;
}

}  // namespace kumquatcart
