// Faults switched on by request.
#ifndef STANDINS_FAULT_API_H_
#define STANDINS_FAULT_API_H_

#include <cstdint>
#include <string>
#include <tuple>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "base/outcome.h"
#include "standins/scheduler.h"
#include "standins/stand_ins.h"

namespace kumquatcart::standins {

// Body of POST /faults. Fields that a kind does not use are ignored.
struct FaultRequest {
  std::string kind;
  std::string target;            // VM id, fabric domain or log stream.
  std::int64_t duration_ms = 0;  // Zero: until cleared.
  std::int64_t delay_ms = 0;
  std::int64_t below = 0;  // log-expire: first offset that stays.
  int count = 1;

  auto Tie() const {
    return std::tie(this->kind, this->target, this->duration_ms, this->delay_ms,
                    this->below, this->count);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FaultRequest,
                                                kind,
                                                target,
                                                duration_ms,
                                                delay_ms,
                                                below,
                                                count)

// Everything runs on the io_context's thread.
class FaultApi {
 public:
  // Precondition: both outlive the interface.
  FaultApi(Scheduler* scheduler, StandIns* stand_ins);

  // Errors: kInvalidArgument for an unknown kind, kNotFound for an unknown
  // target, kUnavailable when a VM cannot come back.
  Status Apply(const FaultRequest& fault);

 private:
  using Action = Status (FaultApi::*)(const FaultRequest& fault);
  struct Kind {
    const char* name;
    Action action;
  };
  static const Kind kKinds[];

  Status LogDown(const FaultRequest& fault);
  Status LogSlow(const FaultRequest& fault);
  Status LoseAppendAnswers(const FaultRequest& fault);
  Status ExpireLog(const FaultRequest& fault);
  Status FreezeVmList(const FaultRequest& fault);
  Status KillVm(const FaultRequest& fault);
  Status RestartVm(const FaultRequest& fault);
  Status PauseVm(const FaultRequest& fault);
  Status SlowVm(const FaultRequest& fault);
  Status LeaveVm(const FaultRequest& fault);
  Status DarkenFabricDomain(const FaultRequest& fault);
  Status SilenceFirstByte(const FaultRequest& fault);
  Status SilenceMidStream(const FaultRequest& fault);
  Status InjectForeignLines(const FaultRequest& fault);
  Status InjectDuplicateLines(const FaultRequest& fault);
  Status DelayCacheEvents(const FaultRequest& fault);
  Status DropCacheEvents(const FaultRequest& fault);

  // Error: kNotFound.
  Result<VmHost*> HostOf(const FaultRequest& fault);
  // Calls `undo` when the fault's duration is over, if it has one.
  void UndoLater(const FaultRequest& fault, std::function<void()> undo);

  Scheduler* scheduler;
  StandIns* stand_ins;
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_FAULT_API_H_
