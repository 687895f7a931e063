// The whole set of stand-ins: every VM of the topology and the platform's
// state.
#ifndef STANDINS_STAND_INS_H_
#define STANDINS_STAND_INS_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "standins/engine_host.h"
#include "standins/execution_counts.h"
#include "standins/lagged_value.h"
#include "standins/log_model.h"
#include "standins/scheduler.h"
#include "standins/standins_settings.h"
#include "standins/topology.h"
#include "standins/vm_host.h"
#include "standins/weight_store_model.h"

namespace kumquatcart::standins {

// Faults of the platform that are on.
struct PlatformFaults {
  bool log_down = false;
  Duration log_slowness{};
  int lost_append_answers = 0;  // Appends still to take effect unanswered.
  bool list_frozen = false;
};

// Everything runs on the io_context's thread.
class StandIns {
 public:
  // Preconditions: everything pointed to outlives the stand-ins.
  StandIns(boost::asio::io_context* context,
           Scheduler* scheduler,
           const StandInsSettings& settings,
           const Topology& topology);

  // Opens every VM's port and starts the periodic work. Error: kUnavailable.
  Status Start();

  // Null when the VM is unknown; an engine or plain service host otherwise.
  VmHost* FindHost(const VmId& vm);
  // Null when the VM is not an engine.
  EngineHost* FindEngine(const VmId& vm);
  // All hosts of one fabric domain.
  std::vector<VmHost*> HostsOf(const FabricDomainId& fabric_domain);
  std::vector<VmHost*> AllHosts();

  // Entry VMs run elsewhere; only their row in the list can change.
  Status SetEntryListed(const VmId& vm, bool listed);
  Status SetEntryLeaving(const VmId& vm, bool leaving);

  // Takes note of VMs that died, came back or are leaving.
  void RecordVms();
  // The VM list as the platform shows it now.
  const VmTable& ListedVms();
  void FreezeList(bool frozen);

  // Ends every fault and brings back dead VMs.
  Status ClearFaults();

  LogModel log;
  ExecutionCounts counts;
  PlatformFaults faults;
  const WeightStoreModel& Weights() const { return this->weights; }

 private:
  void AddHost(const TopologyVm& vm);
  void AdvanceWeights();

  boost::asio::io_context* context;
  Scheduler* scheduler;
  const StandInsSettings settings;
  WeightStoreModel weights;
  EngineSurroundings surroundings;
  std::map<VmId, std::unique_ptr<EngineHost>> engines;
  std::map<VmId, std::unique_ptr<VmHost>> services;
  std::map<VmId, Vm> entries;
  std::set<VmId> unlisted_entries;
  LaggedValue<VmTable> listing;
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_STAND_INS_H_
