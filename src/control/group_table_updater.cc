#include "control/group_table_updater.h"

#include <map>
#include <utility>

#include "base/logging.h"

namespace kumquatcart {

namespace {

// A refresh later than this many intervals indicates that the process was
// paused.
constexpr int kLateIntervals = 3;

}  // namespace

GroupTableUpdater::GroupTableUpdater(Clock* clock,
                                     WorkerPool* pool,
                                     Board* board,
                                     MetricRegistry* metrics,
                                     const WatchSettings& settings)
    : clock(clock),
      board(board),
      metrics(metrics),
      settings(settings),
      pauses(kLateIntervals * settings.group_interval, settings.lost_after),
      task(clock, pool, settings.group_interval, [this] { this->Refresh(); }) {}

void GroupTableUpdater::SetRemoteGroups(RemoteGroups remote_groups) {
  this->remote_groups = std::move(remote_groups);
}

void GroupTableUpdater::Refresh() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto vms = this->board->vms.Read();
  const auto engines = this->board->engines.Read();
  const MonotonicTime now = this->clock->Now();
  if (this->pauses.Observe(now)) {
    this->metrics->GetCounter("kumquatcart_own_pauses_total").Add();
    LogWarning("own_pause_detected");
  }
  GroupTable table = DeriveGroups(*vms, *engines, this->pauses.LostBefore(now));
  if (this->remote_groups) {
    GroupTable remote = this->remote_groups();
    // Observations of this node take precedence over reports of peers.
    table.groups.merge(remote.groups);
  }
  this->CountStates(table);
  this->board->groups.Publish(std::move(table));
}

void GroupTableUpdater::CountStates(const GroupTable& table) {
  std::map<GroupState, int> counts = {{GroupState::kForming, 0},
                                      {GroupState::kWhole, 0},
                                      {GroupState::kDraining, 0},
                                      {GroupState::kIncomplete, 0}};
  for (const auto& [id, group] : table.groups) {
    ++counts[group.state];
  }
  for (const auto& [state, count] : counts) {
    const std::string name = nlohmann::json(state).get<std::string>();
    this->metrics->GetGauge("kumquatcart_groups", {{"state", name}}).Set(count);
  }
}

}  // namespace kumquatcart
