#include "control/standby_loader.h"

#include <algorithm>

#include "control/group_record_codec.h"
#include "control/standby_name.h"

namespace kumquatcart {

namespace {

// A join order without effect is resent after this time.
constexpr Duration kJoinResendDelay = std::chrono::milliseconds(1500);
// A staging order without effect is resent after this time, which is well above
// the duration of a load that shares the weight store with others.
constexpr Duration kStageResendDelay = std::chrono::seconds(40);

}  // namespace

void StandbyLoader::LoadStandby(const StandbyAssignment& standby,
                                Coroutine yield) {
  const BackendServer* server = this->parts->view->FindServer(standby.server);
  if (server == nullptr) {
    return;
  }
  const BackendServer copy = *server;
  if (!this->loads->TryCount(copy, standby.model, LoadPurpose::kStandby)) {
    return;
  }
  GroupRecord record;
  if (standby.stages_only) {
    record.model = standby.model;
    this->orders->Send(copy, GroupOrder::kStage, record, std::nullopt, yield);
    this->parts->loop->Sleep(kStageResendDelay, yield);
    return;
  }
  record.group = StandbyGroupName(copy.id);
  record.epoch = std::max(EpochBefore(this->parts->records->Position()),
                          copy.membership ? copy.membership->epoch : 0);
  record.model = standby.model;
  record.members = {copy.id};
  if (!MayHaveBegun(this->orders->Join(copy, record, yield))) {
    this->loads->Refund(copy, standby.model);
  }
  this->parts->loop->Sleep(kJoinResendDelay, yield);
}

}  // namespace kumquatcart
