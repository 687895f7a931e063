#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "control/engine_watcher.h"
#include "control/group_table_updater.h"
#include "control/vm_list_reader.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeVmList : public VmList {
 public:
  Result<VmTable> Fetch() override {
    if (!this->up) {
      return MakeError(ErrorCode::kUnavailable, "down");
    }
    return VmTable(this->table);
  }

  bool up = true;
  VmTable table;
};

// Engines that answer unless `silent` contains their VM.
class FakeEngines : public EngineControl {
 public:
  Result<EngineStatus> FetchStatus(const Endpoint& endpoint,
                                   Duration) override {
    const EngineStatus& status = this->by_port.at(endpoint.port);
    if (this->silent.count(status.vm) > 0) {
      return MakeError(ErrorCode::kTimeout, "silent");
    }
    return EngineStatus(status);
  }
  Result<EngineStatus> SendOrder(const Endpoint&,
                                 const EngineOrder&,
                                 Duration) override {
    return MakeError(ErrorCode::kUnavailable, "takes no orders");
  }
  Status ProbeService(const Endpoint&, Duration) override { return Ok(); }

  std::map<std::uint16_t, EngineStatus> by_port;
  std::set<VmId> silent;
};

// One group of two VMs in the failure domain of the node.
struct Fixture {
  Fixture() {
    EngineClaim claim;
    claim.group = GroupId("g1");
    claim.epoch = 1;
    claim.members = {VmId("vm1"), VmId("vm2")};
    std::uint16_t port = 1;
    for (const VmId& id : claim.members) {
      Vm vm;
      vm.id = id;
      vm.failure_domain = this->board.identity.failure_domain;
      vm.endpoint.port = port;
      this->vm_list.table.vms[id] = vm;
      EngineStatus status;
      status.vm = id;
      status.claim = claim;
      status.state = EngineState::kReady;
      this->engines.by_port[port] = status;
      ++port;
    }
    this->reader.ReadOnce();
    this->AdvanceTime(milliseconds(0));
  }

  // Advances the clock with a poll and a refresh at each group interval.
  void AdvanceTime(Duration duration) {
    const MonotonicTime end = this->clock.Now() + duration;
    for (;;) {
      this->watcher.PollOnce();
      this->view.Refresh();
      if (this->clock.Now() >= end) {
        return;
      }
      this->clock.Advance(this->settings.group_interval);
    }
  }

  GroupState State() const {
    const auto table = this->board.groups.Read();
    const auto found = table->groups.find(GroupId("g1"));
    return found == table->groups.end() ? GroupState::kIncomplete
                                        : found->second.state;
  }

  ManualClock clock;
  WorkerPool pool{2};
  Board board{NodeIdentity{}};
  MetricRegistry metrics;
  WatchSettings settings;
  FakeVmList vm_list;
  FakeEngines engines;
  VmListReader reader{&this->clock,   &this->pool,    &this->board,
                      &this->vm_list, &this->metrics, this->settings};
  EngineWatcher watcher{&this->clock,   &this->pool,    &this->board,
                        &this->engines, &this->metrics, this->settings};
  GroupTableUpdater view{&this->clock, &this->pool, &this->board,
                         &this->metrics, this->settings};
};

TEST_CASE("A group closes within a second of a VM falling silent") {
  Fixture fixture;
  REQUIRE(fixture.State() == GroupState::kWhole);
  fixture.engines.silent.insert(VmId("vm2"));
  fixture.AdvanceTime(milliseconds(600));
  REQUIRE(fixture.State() == GroupState::kWhole);
  fixture.AdvanceTime(milliseconds(300));
  REQUIRE(fixture.State() == GroupState::kIncomplete);
}

TEST_CASE("A pause of the node closes no group but a VM lost later does") {
  Fixture fixture;
  fixture.clock.Jump(seconds(30));
  fixture.view.Refresh();
  REQUIRE(fixture.State() == GroupState::kWhole);
  fixture.engines.silent.insert(VmId("vm1"));
  fixture.AdvanceTime(milliseconds(900));
  REQUIRE(fixture.State() == GroupState::kIncomplete);
}

TEST_CASE("Repeated short pauses of the node do not keep a lost group open") {
  Fixture fixture;
  fixture.engines.silent.insert(VmId("vm1"));
  for (int pause = 0; pause < 8; ++pause) {
    fixture.clock.Jump(milliseconds(400));
    fixture.AdvanceTime(milliseconds(100));
  }
  REQUIRE(fixture.State() == GroupState::kIncomplete);
}

TEST_CASE("A leaving VM closes its group after one read of the VM list") {
  Fixture fixture;
  fixture.vm_list.table.vms[VmId("vm1")].state = VmState::kLeaving;
  fixture.clock.Advance(fixture.settings.vm_list_interval);
  fixture.reader.ReadOnce();
  fixture.AdvanceTime(milliseconds(100));
  REQUIRE(fixture.State() == GroupState::kDraining);
}

TEST_CASE("The last VM list stays while the platform is unavailable") {
  Fixture fixture;
  fixture.vm_list.up = false;
  fixture.reader.ReadOnce();
  fixture.AdvanceTime(seconds(5));
  REQUIRE(fixture.State() == GroupState::kWhole);
}

TEST_CASE("An address reassigned to another VM does not confirm the old VM") {
  Fixture fixture;
  fixture.engines.by_port[1].vm = VmId("vm9");
  fixture.AdvanceTime(milliseconds(900));
  REQUIRE(fixture.State() == GroupState::kIncomplete);
}

}  // namespace
}  // namespace kumquatcart
