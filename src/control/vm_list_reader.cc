#include "control/vm_list_reader.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"

namespace kumquatcart {

namespace {

bool IsLeaving(const std::pair<const VmId, Vm>& entry) {
  return entry.second.state == VmState::kLeaving;
}

}  // namespace

VmListReader::VmListReader(Clock* clock,
                           WorkerPool* pool,
                           Board* board,
                           VmList* vm_list,
                           MetricRegistry* metrics,
                           const WatchSettings& settings)
    : board(board),
      vm_list(vm_list),
      failures(&metrics->GetCounter("kumquatcart_vm_list_failures_total")),
      listed(&metrics->GetGauge("kumquatcart_vm_list_vms")),
      leaving(&metrics->GetGauge("kumquatcart_vm_list_leaving_vms")),
      task(clock, pool, settings.vm_list_interval, [this] {
        this->ReadOnce();
      }) {}

void VmListReader::ReadOnce() {
  Result<VmTable> table = this->vm_list->Fetch();
  if (!table.has_value()) {
    this->failures->Add();
    LogDebug("vm_list_unavailable", {{"error", table.error().message}});
    return;
  }
  const auto& vms = table.value().vms;
  this->listed->Set(static_cast<double>(vms.size()));
  this->leaving->Set(
      static_cast<double>(std::count_if(vms.begin(), vms.end(), IsLeaving)));
  this->board->vms.Publish(std::move(table.value()));
}

}  // namespace kumquatcart
