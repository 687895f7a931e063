#include "standins/stand_ins.h"

#include <chrono>
#include <utility>

#include "standins/service_host.h"

namespace kumquatcart::standins {

namespace {

// How often weight loads move forward, and how often old records are dropped.
constexpr Duration kWeightsInterval = std::chrono::milliseconds(10);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);

}  // namespace

StandIns::StandIns(boost::asio::io_context* context,
                   Scheduler* scheduler,
                   const StandInsSettings& settings,
                   const Topology& topology)
    : log(settings.log, scheduler->Now()),
      context(context),
      scheduler(scheduler),
      settings(settings),
      weights(settings.weight_store_bytes_per_second, scheduler->Now()),
      listing(settings.vm_list_lag) {
  this->surroundings.settings = settings.engine;
  this->surroundings.weights = &this->weights;
  this->surroundings.counts = &this->counts;
  this->surroundings.find = [this](const VmId& vm) {
    return this->FindEngine(vm);
  };
  for (const TopologyVm& vm : topology.vms) {
    this->AddHost(vm);
  }
}

void StandIns::AddHost(const TopologyVm& vm) {
  const VmId& id = vm.vm.id;
  switch (vm.vm.role) {
    case VmRole::kEntry:
      this->entries[id] = vm.vm;
      return;
    case VmRole::kEngine:
      this->engines[id] = std::make_unique<EngineHost>(
          this->context, this->scheduler, vm, &this->surroundings);
      return;
    case VmRole::kPlainService:
      this->services[id] = std::make_unique<ServiceHost>(
          this->context, this->scheduler, vm, this->settings.service_delay,
          &this->counts);
      return;
  }
}

Status StandIns::Start() {
  for (VmHost* host : this->AllHosts()) {
    BOOST_OUTCOME_TRYV(host->Start());
  }
  this->RecordVms();
  this->scheduler->Every(kWeightsInterval, [this] { this->AdvanceWeights(); });
  this->scheduler->Every(
      kExpiryInterval, [this] { this->log.ExpireOld(this->scheduler->Now()); });
  return Ok();
}

void StandIns::AdvanceWeights() {
  for (const VmId& vm : this->weights.Advance(this->scheduler->Now())) {
    this->engines.at(vm)->FinishLoad();
  }
}

VmHost* StandIns::FindHost(const VmId& vm) {
  const auto service = this->services.find(vm);
  if (service != this->services.end()) {
    return service->second.get();
  }
  return this->FindEngine(vm);
}

EngineHost* StandIns::FindEngine(const VmId& vm) {
  const auto found = this->engines.find(vm);
  return found == this->engines.end() ? nullptr : found->second.get();
}

std::vector<VmHost*> StandIns::HostsOf(const FabricDomainId& fabric_domain) {
  std::vector<VmHost*> hosts;
  for (const auto& [id, engine] : this->engines) {
    if (engine->Row().fabric_domain == fabric_domain) {
      hosts.push_back(engine.get());
    }
  }
  return hosts;
}

std::vector<VmHost*> StandIns::AllHosts() {
  std::vector<VmHost*> hosts;
  for (const auto& [id, engine] : this->engines) {
    hosts.push_back(engine.get());
  }
  for (const auto& [id, service] : this->services) {
    hosts.push_back(service.get());
  }
  return hosts;
}

Status StandIns::SetEntryListed(const VmId& vm, bool listed) {
  if (this->entries.count(vm) == 0) {
    return MakeError(ErrorCode::kNotFound, "no such VM: " + vm.value);
  }
  if (listed) {
    this->unlisted_entries.erase(vm);
  } else {
    this->unlisted_entries.insert(vm);
  }
  return Ok();
}

Status StandIns::SetEntryLeaving(const VmId& vm, bool leaving) {
  const auto found = this->entries.find(vm);
  if (found == this->entries.end()) {
    return MakeError(ErrorCode::kNotFound, "no such VM: " + vm.value);
  }
  found->second.state = leaving ? VmState::kLeaving : VmState::kLive;
  return Ok();
}

void StandIns::RecordVms() {
  VmTable truth;
  for (const auto& [id, vm] : this->entries) {
    if (this->unlisted_entries.count(id) == 0) {
      truth.vms[id] = vm;
    }
  }
  for (const VmHost* host : this->AllHosts()) {
    if (host->IsAlive()) {
      truth.vms[host->Row().id] = host->Row();
    }
  }
  this->listing.Record(std::move(truth), this->scheduler->Now());
}

const VmTable& StandIns::ListedVms() {
  return this->listing.At(this->scheduler->Now());
}

void StandIns::FreezeList(bool frozen) {
  this->faults.list_frozen = frozen;
  if (frozen) {
    this->listing.Freeze(this->scheduler->Now());
  } else {
    this->listing.Thaw();
  }
}

Status StandIns::ClearFaults() {
  this->faults = PlatformFaults{};
  this->listing.Thaw();
  this->unlisted_entries.clear();
  for (auto& [id, vm] : this->entries) {
    vm.state = VmState::kLive;
  }
  for (VmHost* host : this->AllHosts()) {
    host->faults = VmFaults{};
    host->SetLeaving(false);
    host->Resume();
    BOOST_OUTCOME_TRYV(host->Restart());
  }
  this->RecordVms();
  return Ok();
}

}  // namespace kumquatcart::standins
