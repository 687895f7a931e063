// The state of configuration, servers and groups as seen by this entry VM.
#ifndef CONTROL_FLEET_VIEW_H_
#define CONTROL_FLEET_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "base/clock.h"
#include "control/evacuations.h"
#include "control/group_planner.h"
#include "model/backend_server.h"
#include "model/routing_config.h"

namespace kumquatcart {

// The newest record of a group, and whether the group takes requests.
struct GroupStatus {
  GroupRecord record;
  // The preceding record. Its members may still be finishing requests.
  std::optional<GroupRecord> previous;
  bool open = false;
};

// Use only on the event loop's thread.
class FleetView {
 public:
  // Replaces the configuration if `config` has a higher version; the version
  // never decreases. Returns whether it was replaced.
  bool AdoptConfig(std::shared_ptr<const RoutingConfig> config);
  // Null until the first version is received.
  const std::shared_ptr<const RoutingConfig>& Config() const {
    return this->config;
  }

  // Adds or updates a server. An entry of an earlier start is ignored, and one
  // that does not say that its start is leaving does not undo that. Of two
  // servers with one address, the one that started earlier is unreachable.
  void PutServer(const BackendServer& entry, MonotonicTime now);
  // Whether `entry` is older than what is known of its server: of an earlier
  // start, or of the same one with fewer orders accepted, or not leaving any
  // more. `is_from_copy`: the entry of a start counts as older than its
  // removal, too. False for servers that do not state their start.
  bool IsOutdated(const BackendServer& entry, bool is_from_copy) const;
  // Whether what `entry` says, or its removal, is news of its server.
  bool IsNews(const BackendServer& entry, bool is_removed) const;
  // Records that the entry was removed, as a peer knows.
  void NoteRemoved(const BackendServer& entry, MonotonicTime now);

  // Records that a start of a server has said itself that it is leaving; its
  // entry in the store may not say so yet, or never. Returns whether that is
  // new.
  bool SetLeaving(const std::string& id,
                  std::int64_t started_ms,
                  MonotonicTime now);
  // Schedules the removal of a server whose entry the store has dropped, for
  // `effective`: entries that expired during a store outage may be renewed. An
  // earlier removal that is scheduled already holds.
  void RemoveServer(const std::string& id, MonotonicTime effective);
  // The same for a server whose entry the store has lost with an older copy.
  // Replaces an earlier removal, unless the entry was removed before.
  void RemoveLostServer(const std::string& id, MonotonicTime effective);
  // Records that the entry of a server was removed; it may be kept for a time.
  void NoteRemoval(const std::string& id, MonotonicTime now);
  // Executes the removals that are due. Group members that still answer are
  // kept as unregistered servers.
  void ExpireServers(MonotonicTime now);
  const std::map<std::string, BackendServer>& Servers() const {
    return this->servers;
  }
  const BackendServer* FindServer(const std::string& id) const;
  // Time at which the newest server of `fabric_domain` was first seen.
  MonotonicTime NewestServerSeenAt(const std::string& fabric_domain) const;

  // Replaces the record of a group if `record` has a higher epoch. Returns
  // whether it was replaced.
  bool PutRecord(const GroupRecord& record);
  const std::map<std::string, GroupStatus>& Groups() const {
    return this->groups;
  }
  const GroupStatus* FindGroup(const std::string& group) const;
  // Whether no other group's record of a later epoch lists `server`, too.
  bool IsLatestClaim(const GroupRecord& record,
                     const std::string& server) const;
  // Sets whether the group takes requests. Ignored unless `epoch` is the
  // current one.
  void SetOpen(const std::string& group, std::int64_t epoch, bool open);

  // Sets whether the known start of the server answers at its address. An
  // unregistered server that does not is removed.
  void SetReachable(const std::string& id, bool reachable, MonotonicTime now);
  bool IsReachable(const std::string& id) const {
    return this->unreachable.count(id) == 0;
  }
  // Servers that do not answer at their addresses, with the time at which that
  // was first found.
  const std::map<std::string, MonotonicTime>& Unreachable() const {
    return this->unreachable;
  }

  // Whether the server may take requests and join groups.
  ServerAvailability AvailabilityOf(const std::string& id) const;
  // The same for the member at `rank` of `record`: lost also if its server has
  // started again since the record was written, or is in a later group.
  ServerAvailability MemberAvailability(const GroupRecord& record,
                                        std::size_t rank) const;
  bool IsUsable(const std::string& id) const {
    return this->AvailabilityOf(id) == ServerAvailability::kUsable;
  }
  // Reachable servers that are group members but no longer registered.
  const std::set<std::string>& Unregistered() const {
    return this->unregistered;
  }

  // Puts an order to evacuate a failure domain in force, or ends it. Returns
  // whether that is a change.
  bool SetEvacuated(const std::string& failure_domain,
                    bool evacuated,
                    MonotonicTime now);
  // Whether servers of the failure domain take no further requests.
  bool IsEvacuated(const std::string& failure_domain) const {
    return this->evacuations.IsEvacuated(failure_domain);
  }
  const Evacuations& Evacuated() const { return this->evacuations; }

  // Whether the group can serve requests: it is open under its newest record,
  // every member is available, the head is registered and not leaving, and the
  // failure domain is not evacuated.
  bool Serves(const GroupStatus& status) const;

  // Whether a request that runs under `epoch` of `group` can continue. False
  // once a member of that epoch is lost; true if the group or the epoch is
  // unknown.
  bool CanFinishRequests(const std::string& group, std::int64_t epoch) const;

  // Number of changes of the servers, groups and their reachability. While it
  // stays the same, pointers and the results of the other methods stay valid.
  std::uint64_t ChangeCount() const { return this->change_count; }

  // Whether the deployment has received a request from a caller.
  bool HasTraffic() const { return this->has_traffic; }
  void MarkTrafficStarted() { this->has_traffic = true; }

 private:
  bool IsMember(const std::string& id) const;
  // Updates `claims` for the members of a group's former and newest record.
  void UpdateClaims(const GroupRecord& former, const GroupRecord& record);
  // Marks the former holder of the address of `server`, which may be `server`.
  void MarkFormerHolder(const BackendServer& server, MonotonicTime now);
  // Whether this start of the server has said that it is leaving.
  bool IsLeaving(const BackendServer& server) const;
  // Removes unregistered servers that are no longer members of any group.
  void RemoveFormerMembers();

  std::shared_ptr<const RoutingConfig> config;
  std::map<std::string, BackendServer> servers;
  // Starts that have said that they are leaving.
  struct LeavingStart {
    std::int64_t started_ms = 0;  // Unix time; 0 where not given.
    MonotonicTime known_at;
  };
  std::map<std::string, LeavingStart> leaving;
  // The latest statement of a server, kept for some time after its removal.
  struct Statement {
    std::int64_t started_ms = 0;
    std::int64_t orders_accepted = 0;
    bool draining = false;
    bool is_removed = false;

    auto Tie() const {
      return std::tie(this->started_ms, this->orders_accepted, this->draining,
                      this->is_removed);
    }
  };
  struct KnownStatement {
    Statement statement;
    MonotonicTime known_at;  // Its removal, if it is removed.
  };
  void NoteStatement(const std::string& id,
                     const Statement& statement,
                     MonotonicTime now) {
    this->statements[id] = {statement, now};
  }
  std::map<std::string, KnownStatement> statements;
  // The server that last started at each address, as far as known.
  std::map<Endpoint, std::string> address_holders;
  std::map<std::string, MonotonicTime> pending_removals;
  std::set<std::string> unregistered;
  std::map<std::string, MonotonicTime> newest_server_times;
  std::map<std::string, GroupStatus> groups;
  // The groups whose newest records list a server, with their epochs.
  std::map<std::string, std::map<std::string, std::int64_t>> claims;
  std::map<std::string, MonotonicTime> unreachable;
  Evacuations evacuations;
  bool has_traffic = false;
  std::uint64_t change_count = 0;
};

}  // namespace kumquatcart

#endif  // CONTROL_FLEET_VIEW_H_
