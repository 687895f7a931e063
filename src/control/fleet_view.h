// What this entry VM knows of configuration, servers and groups.
#ifndef CONTROL_FLEET_VIEW_H_
#define CONTROL_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "control/group_planner.h"
#include "model/backend_server.h"
#include "model/routing_config.h"

namespace kumquatcart {

// One group: its newest record, and whether it takes requests.
struct GroupStatus {
  GroupRecord record;
  // The record before, with the members that may still work under it.
  std::optional<GroupRecord> previous;
  bool open = false;
};

// Only the event loop's thread uses it.
class FleetView {
 public:
  // Takes `config` unless a version as high is known: the configuration never
  // goes back. Returns whether it was taken.
  bool AdoptConfig(std::shared_ptr<const RoutingConfig> config);
  // Null before the first version is known.
  const std::shared_ptr<const RoutingConfig>& Config() const {
    return this->config;
  }

  // Takes a server's entry. An entry of an earlier start is ignored.
  void PutServer(const BackendServer& server, MonotonicTime now);
  // The store dropped the entry; it takes effect at `effective`, since entries
  // that lapsed while the store was away may come back.
  void RemoveServer(const std::string& id, MonotonicTime effective);
  // Carries out removals that are due. Members of groups that still answer are
  // kept, as servers that are no longer registered.
  void ExpireServers(MonotonicTime now);
  const std::map<std::string, BackendServer>& Servers() const {
    return this->servers;
  }
  const BackendServer* FindServer(const std::string& id) const;
  // The group's head; null where it is not registered or the group dissolved.
  const BackendServer* HeadOf(const GroupRecord& record) const {
    return record.members.empty() ? nullptr
                                  : this->FindServer(record.members.front());
  }
  // When the newest server of `fabric_domain` was first seen.
  MonotonicTime DomainChangedAt(const std::string& fabric_domain) const;

  // Takes a record unless one as new is known. Returns whether it was taken.
  bool PutRecord(const GroupRecord& record);
  const std::map<std::string, GroupStatus>& Groups() const {
    return this->groups;
  }
  const GroupStatus* FindGroup(const std::string& group) const;
  // Whether the group takes requests under `epoch`; other epochs are ignored.
  void SetOpen(const std::string& group, std::int64_t epoch, bool open);

  // Servers that did not answer when asked, and since when.
  void SetReachable(const std::string& id, bool reachable, MonotonicTime now);
  bool IsReachable(const std::string& id) const {
    return this->unreachable.count(id) == 0;
  }
  const std::map<std::string, MonotonicTime>& Unreachable() const {
    return this->unreachable;
  }

  // Whether the server may take requests and join groups.
  ServerStanding StandingOf(const std::string& id) const;
  bool IsUsable(const std::string& id) const {
    return this->StandingOf(id) == ServerStanding::kUsable;
  }
  // Servers that are no longer registered but were members when last seen.
  const std::set<std::string>& Unregistered() const {
    return this->unregistered;
  }

  // Whether the group serves: open under its newest record, with every member
  // there and a head that is registered and not leaving.
  bool Serves(const GroupStatus& status) const;

  // Whether a request that runs under `epoch` of `group` can go on: false once
  // a member is known to be lost or the head has other members.
  bool CanFinish(const std::string& group, std::int64_t epoch) const;

  // Whether callers' requests have begun in the deployment.
  bool HasTraffic() const { return this->has_traffic; }
  void NoteTraffic() { this->has_traffic = true; }

 private:
  bool IsMember(const std::string& id) const;
  // Forgets unregistered servers whose group has replaced them.
  void DropFormerMembers();

  std::shared_ptr<const RoutingConfig> config;
  std::map<std::string, BackendServer> servers;
  std::map<std::string, MonotonicTime> removals;
  std::set<std::string> unregistered;
  std::map<std::string, MonotonicTime> domain_changes;
  std::map<std::string, GroupStatus> groups;
  std::map<std::string, MonotonicTime> unreachable;
  bool has_traffic = false;
};

}  // namespace kumquatcart

#endif  // CONTROL_FLEET_VIEW_H_
