// Test fixture: one failure domain with engines and controllers.
#ifndef CONTROL_PLACEMENT_FIXTURE_H_
#define CONTROL_PLACEMENT_FIXTURE_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/worker_pool.h"
#include "board/board.h"
#include "control/group_controller.h"
#include "control/lease_manager.h"
#include "fakes/fake_engine_fleet.h"
#include "fakes/fake_log_service.h"
#include "model/replica_group.h"

namespace kumquatcart {

inline const FailureDomainId kTestFailureDomain{"brest-a"};

// Adds a model service with its class and placement intent to a configuration.
inline void AddService(ConfigView* config,
                       const std::string& name,
                       int replicas,
                       int vm_count) {
  config->offset = 1;
  const ObjectName class_name(name + "-class");
  config->replica_group_classes[class_name].body.vm_count = vm_count;
  ModelService service;
  service.replica_group_class = class_name;
  service.version = "v1";
  service.weights_bytes_per_vm = 1'000'000'000;
  config->model_services[ObjectName(name)].body = service;
  PlacementIntent intent;
  intent.model_service = ObjectName(name);
  intent.spread = {{kTestFailureDomain, replicas}};
  config->placement_intents[ObjectName(name + "-intent")].body = intent;
}

// Adds `count` engine VMs with one accelerator each to a fabric domain.
inline void AddVms(VmTable* vms, const std::string& fabric, int count) {
  for (int i = 0; i < count; ++i) {
    Vm vm;
    vm.id = VmId(fabric + "-" + std::to_string(i));
    vm.failure_domain = kTestFailureDomain;
    vm.fabric_domain = FabricDomainId(fabric);
    vm.accelerators = 1;
    vm.endpoint.host = vm.id.value;
    vms->vms[vm.id] = vm;
  }
}

class FakeWeightStore : public WeightStore {
 public:
  Result<WeightStoreStatus> FetchStatus() override {
    return WeightStoreStatus{1'000'000'000, 0};
  }
};

inline NodeIdentity MakeIdentity(const std::string& id) {
  NodeIdentity identity;
  identity.id = NodeId(id);
  identity.failure_domain = kTestFailureDomain;
  return identity;
}

// Connection of one node to the log that a test can interrupt.
class InterruptibleLog : public LogService {
 public:
  explicit InterruptibleLog(LogService* target) : target(target) {}

  Result<Offset> Append(const StreamName& stream,
                        const AppendId& append_id,
                        const std::string& payload) override {
    if (this->is_interrupted) {
      return MakeError(ErrorCode::kUnavailable, "the log is disconnected");
    }
    Result<Offset> offset = this->target->Append(stream, append_id, payload);
    if (this->after_append) {
      this->after_append();
    }
    return offset;
  }

  Result<LogBatch> Read(const StreamName& stream,
                        Offset from,
                        std::size_t max_records,
                        Duration wait) override {
    if (this->is_interrupted) {
      return MakeError(ErrorCode::kUnavailable, "the log is disconnected");
    }
    return this->target->Read(stream, from, max_records, wait);
  }

  bool is_interrupted = false;
  std::function<void()> after_append;  // Called before Append returns.

 private:
  LogService* target;
};

// Control components of one entry VM over a shared log and shared engines.
struct ControlNode {
  ControlNode(const std::string& id,
              ManualClock* clock,
              WorkerPool* pool,
              FakeLogService* shared_log,
              FakeEngineFleet* fleet)
      : board(MakeIdentity(id)),
        log(shared_log),
        lease(clock, pool, &board, &log, &metrics, LeaseSettings()),
        groups(
            clock,
            pool,
            &board,
            &lease,
            fleet,
            &store,
            [this](const AuditEntry& entry) { audit.push_back(entry); },
            &metrics,
            GroupSettings()) {}

  MetricRegistry metrics;
  Board board;
  InterruptibleLog log;
  FakeWeightStore store;
  std::vector<AuditEntry> audit;
  LeaseManager lease;
  GroupController groups;
};

// Nodes, log and engines of one failure domain with one manual clock.
struct PlacementFixture {
  PlacementFixture() : pool(2), log(clock) {}

  ControlNode& AddNode(const std::string& id) {
    this->nodes.push_back(std::make_unique<ControlNode>(
        id, &this->clock, &this->pool, &this->log, &this->fleet));
    return *this->nodes.back();
  }

  void AddFabric(const std::string& fabric, int vm_count, bool fenced = true) {
    AddVms(&this->vms, fabric, vm_count);
    for (const auto& [id, vm] : this->vms.vms) {
      if (vm.fabric_domain.value == fabric) {
        this->fleet.Add(id, fenced);
      }
    }
  }

  // Publishes the configuration, VM list and observations on the board of
  // `node`.
  void Refresh(ControlNode& node) {
    node.board.config.Publish(this->config);
    node.board.vms.Publish(this->vms);
    node.board.engines.Update([&](const EngineTable& before) {
      return this->fleet.Observe(this->clock.Now(), before);
    });
  }

  // Runs the lease manager and the group controller of a node once.
  void Step(ControlNode& node) {
    this->Refresh(node);
    node.lease.RunOnce();
    node.groups.RunOnce();
  }

  // Runs a number of rounds of a node, 250 ms apart; loads finish after each.
  void Run(ControlNode& node, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      this->Step(node);
      this->fleet.FinishLoads();
      this->clock.Advance(std::chrono::milliseconds(250));
    }
  }

  // Returns the groups that serve and that every member confirms.
  std::vector<ReplicaGroup> WholeGroups() {
    const EngineTable engines =
        this->fleet.Observe(this->clock.Now(), EngineTable());
    std::vector<ReplicaGroup> whole;
    for (const auto& [id, group] :
         DeriveGroups(this->vms, engines, this->clock.Now()).groups) {
      if (group.state == GroupState::kWhole) {
        whole.push_back(group);
      }
    }
    return whole;
  }

  ManualClock clock;
  WorkerPool pool;
  FakeLogService log;
  FakeEngineFleet fleet;
  ConfigView config;
  VmTable vms;
  std::vector<std::unique_ptr<ControlNode>> nodes;
};

}  // namespace kumquatcart

#endif  // CONTROL_PLACEMENT_FIXTURE_H_
