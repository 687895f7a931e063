// Carries out the plans of the fabric domains that this entry VM plans.
#ifndef CONTROL_GROUP_DRIVER_H_
#define CONTROL_GROUP_DRIVER_H_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/fleet_view.h"
#include "control/group_planner.h"
#include "control/server_prober.h"
#include "control/topic_follower.h"
#include "peers/peer_directory.h"
#include "platform/engine_client.h"
#include "platform/store_client.h"

namespace kumquatcart {

// Writes a group's record before it gives any order about it; the record's
// place in the store is the epoch, so that orders of an older plan have no
// effect. Any entry VM can go on from the records and from what servers report.
// For the event loop's thread.
class GroupDriver {
 public:
  struct Parts {
    EventLoop* loop;
    StoreClient* store;
    EngineClient* engines;
    ServerProber* prober;
    FleetView* view;
    const PeerDirectory* peers;
    PlannerRole* role;
    TopicFollower* records;
    std::string failure_domain;  // This entry VM's own.
    // Called when a group begins or ceases to take requests.
    std::function<void()> changed;
  };

  explicit GroupDriver(Parts parts) : parts(std::move(parts)) {}

  // Starts to plan, until the process ends.
  void Start();

  // Gives no more orders.
  void Stop() { this->parts.role->Stop(); }

  // Whether the groups of the planned domains take requests, for the peers.
  std::vector<GroupNews> News() const;

 private:
  struct Domain {
    std::string service;
    std::string name;
    std::string failure_domain;
    const EngineSpec* engine = nullptr;
    std::vector<const BackendServer*> servers;
  };

  void Tick();
  std::vector<Domain> Domains() const;
  void WorkOn(const Domain& domain);
  DomainInput MakeInput(const Domain& domain) const;
  PlannedServer Describe(const BackendServer& server) const;
  std::map<std::string, int> AssignedElsewhere(const Domain& domain) const;

  // Starts `task` unless one of that key is running.
  void StartOnce(const std::string& key, std::function<void(Coroutine)> task);

  void WriteRecords(const std::vector<GroupRecord>& records, Coroutine yield);

  void DriveGroup(const GroupRecord& record, Coroutine yield);
  void CloseOldHeads(const GroupRecord& record, Coroutine yield);
  void CloseHead(const BackendServer& head,
                 const GroupRecord& old,
                 bool may_finish,
                 Coroutine yield);
  bool JoinMembers(const GroupRecord& record, Coroutine yield);
  void SendJoins(const GroupRecord& record,
                 const std::set<std::string>& ready,
                 Coroutine yield);
  std::set<std::string> CollectReady(const GroupRecord& record,
                                     std::set<std::string> ready,
                                     Coroutine yield);
  void OpenHead(const GroupRecord& record, Coroutine yield);
  bool IsCurrent(const GroupRecord& record) const;

  void Dissolve(const GroupRecord& record, Coroutine yield);
  void LeaveGroup(const BackendServer& server, Coroutine yield);
  void PrepareStandby(const StandbyAssignment& standby, Coroutine yield);
  bool TakeLoad(const BackendServer& server,
                const std::string& model,
                const EngineSpec& engine);

  OrderOutcome Send(const BackendServer& server,
                    GroupOrder order,
                    const GroupRecord& record,
                    Coroutine yield);

  const Parts parts;
  std::set<std::string> running;
  std::deque<MonotonicTime> loads;  // Starts of loads from the weight store.
};

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_DRIVER_H_
