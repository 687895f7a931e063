#include "control/standby_loader.h"

#include <algorithm>

#include "base/contains.h"
#include "base/expiring_times.h"
#include "control/standby_name.h"

namespace kumquatcart {

namespace {

// A join that shows no effect is sent again after this.
constexpr Duration kJoinRetry = std::chrono::milliseconds(1500);
// A staging order that shows no effect is sent again after this: well above the
// time of a load that shares the weight store with others.
constexpr Duration kStageRetry = std::chrono::seconds(40);
// Span over which loads are counted against the weight store's rate.
constexpr Duration kLoadWindow = std::chrono::seconds(5);

}  // namespace

bool StandbyLoader::TakeLoad(const BackendServer& server,
                             const std::string& model,
                             const EngineSpec& engine) {
  if (Contains(server.staged_models, model) ||
      !this->parts->view->HasTraffic()) {
    return true;
  }
  const MonotonicTime now = this->parts->loop->Now();
  DropBefore(&this->loads, now - kLoadWindow);
  const double allowed = engine.loads_per_second *
                         std::chrono::duration<double>(kLoadWindow).count() /
                         std::max(1, this->parts->peers->LiveNodes(now));
  if (static_cast<double>(this->loads.size()) + 1 > std::max(1.0, allowed)) {
    return false;
  }
  this->loads.push_back(now);
  return true;
}

void StandbyLoader::Prepare(const StandbyAssignment& standby, Coroutine yield) {
  const BackendServer* server = this->parts->view->FindServer(standby.server);
  if (server == nullptr) {
    return;
  }
  const BackendServer copy = *server;
  const EngineSpec* engine =
      this->parts->view->Config()->FindEngine(copy.service);
  if (engine == nullptr || !this->TakeLoad(copy, standby.model, *engine)) {
    return;
  }
  GroupRecord record;
  if (standby.stages_only) {
    record.model = standby.model;
    this->orders->Send(copy, GroupOrder::kStage, record, yield);
    this->parts->loop->Sleep(kStageRetry, yield);
    return;
  }
  record.group = StandbyName(copy.id);
  record.epoch = std::max<std::int64_t>(this->parts->records->End(), 1);
  record.model = standby.model;
  record.members = {copy.id};
  this->orders->Send(copy, GroupOrder::kJoin, record, yield);
  this->parts->loop->Sleep(kJoinRetry, yield);
}

}  // namespace kumquatcart
