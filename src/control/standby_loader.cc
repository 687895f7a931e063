#include "control/standby_loader.h"

#include <algorithm>

#include "base/contains.h"
#include "control/standby_name.h"

namespace kumquatcart {

namespace {

// A join order without effect is resent after this time.
constexpr Duration kJoinResendDelay = std::chrono::milliseconds(1500);
// A staging order without effect is resent after this time, which is well above
// the duration of a load that shares the weight store with others.
constexpr Duration kStageResendDelay = std::chrono::seconds(40);
// Time window in which loads are counted against the weight store's rate.
constexpr Duration kLoadWindow = std::chrono::seconds(5);

}  // namespace

bool StandbyLoader::TryCountLoad(const BackendServer& server,
                                 const std::string& model,
                                 const EngineSpec& engine) {
  if (Contains(server.staged_models, model) ||
      !this->parts->view->HasTraffic()) {
    return true;
  }
  const MonotonicTime now = this->parts->loop->Now();
  while (!this->load_times.empty() &&
         now - this->load_times.front() > kLoadWindow) {
    this->load_times.pop_front();
  }
  const double allowed = engine.loads_per_second *
                         std::chrono::duration<double>(kLoadWindow).count() /
                         std::max(1, this->parts->peers->CountLiveNodes(now));
  if (static_cast<double>(this->load_times.size()) + 1 >
      std::max(1.0, allowed)) {
    return false;
  }
  this->load_times.push_back(now);
  return true;
}

void StandbyLoader::LoadStandby(const StandbyAssignment& standby,
                                Coroutine yield) {
  const BackendServer* server = this->parts->view->FindServer(standby.server);
  if (server == nullptr) {
    return;
  }
  const BackendServer copy = *server;
  const auto service = this->parts->view->Config()->services.find(copy.service);
  if (service == this->parts->view->Config()->services.end() ||
      !service->second.engine ||
      !this->TryCountLoad(copy, standby.model, *service->second.engine)) {
    return;
  }
  GroupRecord record;
  if (standby.stages_only) {
    record.model = standby.model;
    this->orders->Send(copy, GroupOrder::kStage, record, yield);
    this->parts->loop->Sleep(kStageResendDelay, yield);
    return;
  }
  record.group = StandbyGroupName(copy.id);
  record.epoch = std::max<std::int64_t>(this->parts->records->End(), 1);
  record.model = standby.model;
  record.members = {copy.id};
  this->orders->Send(copy, GroupOrder::kJoin, record, yield);
  this->parts->loop->Sleep(kJoinResendDelay, yield);
}

}  // namespace kumquatcart
