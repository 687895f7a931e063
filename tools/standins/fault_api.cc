#include "standins/fault_api.h"

#include <chrono>
#include <utility>

#include "base/logging.h"

namespace kumquatcart::standins {

const FaultApi::Kind FaultApi::kKinds[] = {
    {"log-down", &FaultApi::LogDown},
    {"log-slow", &FaultApi::LogSlow},
    {"append-answer-lost", &FaultApi::LoseAppendAnswers},
    {"log-expire", &FaultApi::ExpireLog},
    {"vm-list-frozen", &FaultApi::FreezeVmList},
    {"vm-die", &FaultApi::KillVm},
    {"vm-restart", &FaultApi::RestartVm},
    {"vm-pause", &FaultApi::PauseVm},
    {"vm-slow", &FaultApi::SlowVm},
    {"vm-leaving", &FaultApi::LeaveVm},
    {"fabric-domain-dark", &FaultApi::DarkenFabricDomain},
    {"silent-before-first-byte", &FaultApi::SilenceFirstByte},
    {"silent-mid-stream", &FaultApi::SilenceMidStream},
    {"foreign-lines", &FaultApi::InjectForeignLines},
    {"duplicate-lines", &FaultApi::InjectDuplicateLines},
    {"cache-events-late", &FaultApi::DelayCacheEvents},
    {"cache-events-gap", &FaultApi::DropCacheEvents}};

FaultApi::FaultApi(Scheduler* scheduler, StandIns* stand_ins)
    : scheduler(scheduler), stand_ins(stand_ins) {}

Status FaultApi::Apply(const FaultRequest& fault) {
  for (const Kind& kind : kKinds) {
    if (fault.kind == kind.name) {
      LogInfo("fault", {{"kind", fault.kind}, {"target", fault.target}});
      return (this->*kind.action)(fault);
    }
  }
  return MakeError(ErrorCode::kInvalidArgument,
                   "unknown kind of fault: " + fault.kind);
}

Result<VmHost*> FaultApi::HostOf(const FaultRequest& fault) {
  VmHost* host = this->stand_ins->FindHost(VmId(fault.target));
  if (host == nullptr) {
    return MakeError(ErrorCode::kNotFound, "no such VM: " + fault.target);
  }
  return host;
}

void FaultApi::UndoLater(const FaultRequest& fault,
                         std::function<void()> undo) {
  if (fault.duration_ms <= 0) {
    return;
  }
  this->scheduler->After(std::chrono::milliseconds(fault.duration_ms),
                         std::move(undo));
}

Status FaultApi::LogDown(const FaultRequest& fault) {
  this->stand_ins->faults.log_down = true;
  this->UndoLater(fault, [this] { this->stand_ins->faults.log_down = false; });
  return Ok();
}

Status FaultApi::LogSlow(const FaultRequest& fault) {
  this->stand_ins->faults.log_slowness =
      std::chrono::milliseconds(fault.delay_ms);
  this->UndoLater(fault, [this] { this->stand_ins->faults.log_slowness = {}; });
  return Ok();
}

Status FaultApi::LoseAppendAnswers(const FaultRequest& fault) {
  this->stand_ins->faults.lost_append_answers = fault.count;
  return Ok();
}

Status FaultApi::ExpireLog(const FaultRequest& fault) {
  this->stand_ins->log.ExpireBelow(StreamName(fault.target), fault.below);
  return Ok();
}

Status FaultApi::FreezeVmList(const FaultRequest& fault) {
  this->stand_ins->FreezeList(true);
  this->UndoLater(fault, [this] { this->stand_ins->FreezeList(false); });
  return Ok();
}

Status FaultApi::KillVm(const FaultRequest& fault) {
  const VmId vm(fault.target);
  VmHost* host = this->stand_ins->FindHost(vm);
  if (host == nullptr) {
    BOOST_OUTCOME_TRYV(this->stand_ins->SetEntryListed(vm, false));
  } else {
    host->Die();
  }
  this->stand_ins->RecordVms();
  this->UndoLater(fault, [this, fault] { (void)this->RestartVm(fault); });
  return Ok();
}

Status FaultApi::RestartVm(const FaultRequest& fault) {
  const VmId vm(fault.target);
  VmHost* host = this->stand_ins->FindHost(vm);
  if (host == nullptr) {
    BOOST_OUTCOME_TRYV(this->stand_ins->SetEntryListed(vm, true));
  } else {
    BOOST_OUTCOME_TRYV(host->Restart());
  }
  this->stand_ins->RecordVms();
  return Ok();
}

Status FaultApi::PauseVm(const FaultRequest& fault) {
  BOOST_OUTCOME_TRY(host, this->HostOf(fault));
  host->Pause();
  this->UndoLater(fault, [host = host] { host->Resume(); });
  return Ok();
}

Status FaultApi::SlowVm(const FaultRequest& fault) {
  BOOST_OUTCOME_TRY(host, this->HostOf(fault));
  host->faults.slowness = std::chrono::milliseconds(fault.delay_ms);
  this->UndoLater(fault, [host = host] { host->faults.slowness = {}; });
  return Ok();
}

Status FaultApi::LeaveVm(const FaultRequest& fault) {
  const VmId vm(fault.target);
  VmHost* host = this->stand_ins->FindHost(vm);
  if (host == nullptr) {
    BOOST_OUTCOME_TRYV(this->stand_ins->SetEntryLeaving(vm, true));
  } else {
    host->SetLeaving(true);
  }
  this->stand_ins->RecordVms();
  return Ok();
}

Status FaultApi::DarkenFabricDomain(const FaultRequest& fault) {
  const std::vector<VmHost*> hosts =
      this->stand_ins->HostsOf(FabricDomainId(fault.target));
  if (hosts.empty()) {
    return MakeError(ErrorCode::kNotFound,
                     "no such fabric domain: " + fault.target);
  }
  for (VmHost* host : hosts) {
    host->Die();
  }
  this->stand_ins->RecordVms();
  this->UndoLater(fault, [this, hosts] {
    for (VmHost* host : hosts) {
      (void)host->Restart();
    }
    this->stand_ins->RecordVms();
  });
  return Ok();
}

Status FaultApi::SilenceFirstByte(const FaultRequest& fault) {
  BOOST_OUTCOME_TRY(host, this->HostOf(fault));
  host->faults.silent_before_first_byte = fault.count;
  return Ok();
}

Status FaultApi::SilenceMidStream(const FaultRequest& fault) {
  BOOST_OUTCOME_TRY(host, this->HostOf(fault));
  host->faults.silent_mid_stream = fault.count;
  return Ok();
}

Status FaultApi::InjectForeignLines(const FaultRequest& fault) {
  BOOST_OUTCOME_TRY(host, this->HostOf(fault));
  host->faults.foreign_lines = fault.count;
  return Ok();
}

Status FaultApi::InjectDuplicateLines(const FaultRequest& fault) {
  BOOST_OUTCOME_TRY(host, this->HostOf(fault));
  host->faults.duplicate_lines = fault.count;
  return Ok();
}

Status FaultApi::DelayCacheEvents(const FaultRequest& fault) {
  BOOST_OUTCOME_TRY(host, this->HostOf(fault));
  host->faults.cache_event_delay = std::chrono::milliseconds(fault.delay_ms);
  this->UndoLater(fault,
                  [host = host] { host->faults.cache_event_delay = {}; });
  return Ok();
}

Status FaultApi::DropCacheEvents(const FaultRequest& fault) {
  EngineHost* engine = this->stand_ins->FindEngine(VmId(fault.target));
  if (engine == nullptr) {
    return MakeError(ErrorCode::kNotFound, "no such engine: " + fault.target);
  }
  engine->DropCacheEvents(fault.count);
  return Ok();
}

}  // namespace kumquatcart::standins
