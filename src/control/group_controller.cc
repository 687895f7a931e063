#include "control/group_controller.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "base/logging.h"
#include "base/scope_guard.h"
#include "control/lease_constants.h"
#include "control/placement_planner.h"
#include "control/placement_state.h"

namespace kumquatcart {

namespace {

using std::chrono::milliseconds;

// Random digits of a group id after the name of the service.
constexpr std::size_t kGroupIdDigits = 12;

GroupId MakeGroupId(const ServiceName& service) {
  return GroupId(service.value + "-" +
                 MakeRandomId().substr(0, kGroupIdDigits));
}

EngineOrderKind OrderKind(PlacementActionKind kind) {
  switch (kind) {
    case PlacementActionKind::kForm:
    case PlacementActionKind::kSwap:
    case PlacementActionKind::kReclaim:
      return EngineOrderKind::kClaim;
    case PlacementActionKind::kServe:
      return EngineOrderKind::kServe;
    case PlacementActionKind::kDrain:
      return EngineOrderKind::kDrain;
    case PlacementActionKind::kRelease:
      return EngineOrderKind::kRelease;
    case PlacementActionKind::kSetRole:
      return EngineOrderKind::kSetRole;
  }
  return EngineOrderKind::kClaim;
}

std::vector<AddressedOrder> MakeOrders(const PlacementAction& action,
                                       const VmTable& vms,
                                       const EngineTable& engines) {
  std::vector<AddressedOrder> orders;
  for (const VmId& vm : action.targets) {
    AddressedOrder addressed;
    addressed.endpoint = vms.vms.at(vm).endpoint;
    addressed.enforces_fence = engines.engines.at(vm).status.enforces_fence;
    addressed.order.kind = OrderKind(action.kind);
    addressed.order.vm = vm;
    addressed.order.claim = action.claim;
    orders.push_back(std::move(addressed));
  }
  return orders;
}

// Returns the worst result of the orders of one action.
OrderResult WorstResult(const std::vector<OrderReport>& reports,
                        std::size_t first,
                        std::size_t count) {
  OrderResult worst = OrderResult::kApplied;
  for (std::size_t i = first; i < first + count; ++i) {
    worst = std::max(worst, reports[i].result);
  }
  return worst;
}

}  // namespace

GroupController::GroupController(Clock* clock,
                                 WorkerPool* pool,
                                 Board* board,
                                 const LeaseManager* lease,
                                 EngineControl* engines,
                                 WeightStore* store,
                                 AuditSink audit,
                                 MetricRegistry* metrics,
                                 GroupSettings settings)
    : clock(clock),
      board(board),
      lease(lease),
      store(store),
      audit(std::move(audit)),
      metrics(metrics),
      settings(settings),
      sender(
          clock,
          pool,
          engines,
          metrics,
          [lease](MonotonicTime now) { return lease->GetOrderAuthority(now); },
          settings.order_timeout,
          settings.order_validity),
      last_round_end(clock->Now()),
      planning_paused_until(clock->Now()),
      metrics_updated_at(clock->Now()),
      plan_task(std::make_unique<PeriodicTask>(clock,
                                               pool,
                                               settings.plan_interval,
                                               [this] { this->RunOnce(); })),
      store_task(
          std::make_unique<PeriodicTask>(clock,
                                         pool,
                                         settings.store_poll_interval,
                                         [this] { this->PollStore(); })) {}

void GroupController::Start() {
  this->store_task->Start();
  this->plan_task->Start();
}

void GroupController::Stop() {
  this->plan_task->Stop();
  this->store_task->Stop();
}

void GroupController::PollStore() {
  if (!this->lease->HoldsLease(this->clock->Now())) {
    return;
  }
  const Result<WeightStoreStatus> status = this->store->FetchStatus();
  if (status.has_error()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(this->store_mutex);
  this->store_status = status.value();
}

void GroupController::RunOnce() {
  const std::lock_guard<std::mutex> round(this->round_mutex);
  const ScopeGuard finish(
      [this] { this->last_round_end = this->clock->Now(); });
  const MonotonicTime now = this->clock->Now();
  const OrderAuthority standing = this->lease->GetOrderAuthority(now);
  if (standing.right == EngineScope::kNone) {
    this->last_fence = 0;
    this->metrics_updated_at = now;
    return;
  }
  if (standing.fence != this->last_fence) {
    this->last_fence = standing.fence;
    this->recent_statuses.clear();
    this->outcome_unknown_until.clear();
    this->draining_since.clear();
  }
  if (this->WasPaused(now)) {
    return;
  }
  const auto config = this->board->config.Read();
  if (config->offset == kNoOffset) {
    // Without a configuration every group would be retired as unwanted.
    return;
  }
  const auto vms = this->board->vms.Read();
  const EngineTable engines =
      this->MergeRecentStatuses(*this->board->engines.Read());
  this->ObserveAbsences(*vms, engines, now);
  this->ObserveDraining(engines, now);
  PlacementInput input(this->board->identity.failure_domain, *config, *vms,
                       engines);
  {
    const std::lock_guard<std::mutex> lock(this->store_mutex);
    input.store = this->store_status;
  }
  input.now = now;
  input.lost_before = now - this->settings.lost_after;
  input.unfenced_observed_after = standing.acquired_at + kMaxOrderDelay;
  input.fence = standing.fence;
  input.scope = standing.right == EngineScope::kAllEngines
                    ? PlacementScope::kEverything
                    : PlacementScope::kRepairFencedOnly;
  input.expected_return = this->returns.EstimateReturns(now);
  input.draining_since = this->draining_since;
  input.outcome_unknown_until = this->outcome_unknown_until;
  input.limits = this->settings.limits;
  this->UpdateMetrics(ScorePlacement(BuildPlacementState(input)), now);
  const PlacementPlan plan = PlanPlacement(input);
  this->metrics->GetHistogram("kumquatcart_plan_seconds")
      .Record(this->clock->Now() - now);
  this->ExecutePlan(plan, *vms, engines, standing.fence);
}

bool GroupController::WasPaused(MonotonicTime now) {
  const Duration gap = now - this->last_round_end;
  if (gap > this->settings.lost_after + this->settings.plan_interval) {
    this->planning_paused_until = now + this->settings.lost_after;
    LogWarning("placement_paused", {{"gap_ms", ToMillis(gap)}});
  }
  return now < this->planning_paused_until;
}

EngineTable GroupController::MergeRecentStatuses(const EngineTable& observed) {
  EngineTable merged = observed;
  for (auto entry = this->recent_statuses.begin();
       entry != this->recent_statuses.end();) {
    const auto known = merged.engines.find(entry->first);
    const bool newer = known == merged.engines.end() ||
                       known->second.observed_at < entry->second.at;
    if (!newer) {
      entry = this->recent_statuses.erase(entry);
      continue;
    }
    EngineObservation& observation = merged.engines[entry->first];
    observation.status = entry->second.status;
    observation.observed_at = entry->second.at;
    ++entry;
  }
  return merged;
}

void GroupController::ObserveAbsences(const VmTable& vms,
                                      const EngineTable& engines,
                                      MonotonicTime now) {
  std::set<VmId> lost;
  std::set<VmId> claimed;
  for (const auto& [id, observation] : engines.engines) {
    if (vms.vms.count(id) == 0 ||
        observation.observed_at < now - this->settings.lost_after) {
      lost.insert(id);
    } else if (!observation.status.claim.group.IsEmpty()) {
      claimed.insert(id);
    }
  }
  this->returns.Observe(lost, claimed, now);
}

void GroupController::ObserveDraining(const EngineTable& engines,
                                      MonotonicTime now) {
  std::map<GroupId, bool> all_drain;
  for (const auto& [id, observation] : engines.engines) {
    const EngineStatus& status = observation.status;
    if (status.claim.group.IsEmpty()) {
      continue;
    }
    const auto entry = all_drain.emplace(status.claim.group, true).first;
    entry->second = entry->second && status.state == EngineState::kDraining;
  }
  std::map<GroupId, MonotonicTime> since;
  for (const auto& [group, drains] : all_drain) {
    if (!drains) {
      continue;
    }
    const auto known = this->draining_since.find(group);
    since[group] = known == this->draining_since.end() ? now : known->second;
  }
  this->draining_since = std::move(since);
}

void GroupController::ExecutePlan(const PlacementPlan& plan,
                                  const VmTable& vms,
                                  const EngineTable& engines,
                                  FencingNumber fence) {
  std::vector<ActionOrders> batch;
  std::vector<AddressedOrder> orders;
  const auto limit =
      static_cast<std::size_t>(this->settings.max_orders_per_round);
  for (const PlacementAction& planned : plan.actions) {
    if (!orders.empty() && orders.size() + planned.targets.size() > limit) {
      break;
    }
    PlacementAction action = planned;
    if (action.kind == PlacementActionKind::kForm) {
      action.claim.group = MakeGroupId(action.claim.service);
    }
    std::vector<AddressedOrder> made = MakeOrders(action, vms, engines);
    batch.push_back(ActionOrders{action, orders.size(), made.size()});
    std::move(made.begin(), made.end(), std::back_inserter(orders));
  }
  if (orders.empty()) {
    return;
  }
  const std::vector<OrderReport> reports = this->sender.SendAll(fence, orders);
  for (const ActionOrders& step : batch) {
    this->RecordReports(step, orders, reports);
  }
}

void GroupController::RecordReports(const ActionOrders& planned,
                                    const std::vector<AddressedOrder>& orders,
                                    const std::vector<OrderReport>& reports) {
  const MonotonicTime now = this->clock->Now();
  std::string detail = planned.action.reason;
  for (std::size_t i = planned.first; i < planned.first + planned.count; ++i) {
    const VmId& vm = orders[i].order.vm;
    const OrderReport& report = reports[i];
    if (report.status.has_value()) {
      this->recent_statuses[vm] = RecentStatus{*report.status, now};
    }
    if (report.result == OrderResult::kUnknown) {
      // The order may still take effect until then.
      this->outcome_unknown_until[vm] = now + kMaxOrderDelay;
    }
    if (report.result != OrderResult::kApplied) {
      detail += "; " + vm.value + ": " + ToString(report.result) + " (" +
                report.detail + ")";
    }
  }
  const OrderResult worst = WorstResult(reports, planned.first, planned.count);
  LogInfo("group_order", {{"kind", ToString(planned.action.kind)},
                          {"group", planned.action.claim.group},
                          {"epoch", planned.action.claim.epoch},
                          {"result", ToString(worst)},
                          {"detail", detail}});
  if (!this->audit) {
    return;
  }
  AuditEntry entry;
  entry.time_unix_ms = ToUnixMillis(this->clock->WallNow());
  entry.stream = kAuditStream;
  entry.actor = this->board->identity.id.value;
  entry.action = ToString(planned.action.kind);
  entry.subject = planned.action.claim.group.value;
  entry.verdict = ToString(worst);
  entry.detail = std::move(detail);
  this->audit(entry);
}

void GroupController::UpdateMetrics(const PlacementScore& score,
                                    MonotonicTime now) {
  const double seconds =
      std::chrono::duration<double>(now - this->metrics_updated_at).count();
  this->metrics_updated_at = now;
  for (const ServiceScore& service : score.services) {
    this->AddSeconds("kumquatcart_group_downtime_seconds_total",
                     {"service", service.service.value},
                     seconds * service.missing_replicas);
    this->AddSeconds("kumquatcart_stranded_accelerator_seconds_total",
                     {"partner", service.partner.value},
                     seconds * service.stranded_accelerators);
  }
  for (const GroupState state :
       {GroupState::kForming, GroupState::kWhole, GroupState::kDraining,
        GroupState::kIncomplete}) {
    const auto count = score.groups_by_state.find(state);
    this->metrics
        ->GetGauge("kumquatcart_groups",
                   {{"state", nlohmann::json(state).get<std::string>()}})
        .Set(count == score.groups_by_state.end() ? 0 : count->second);
  }
  this->metrics->GetGauge("kumquatcart_idle_accelerators")
      .Set(score.idle_accelerators);
}

void GroupController::AddSeconds(const std::string& name,
                                 const MetricLabel& label,
                                 double seconds) {
  double& fraction = this->fractional_seconds[name + "/" + label.value];
  fraction += seconds;
  const double whole = std::floor(fraction);
  this->metrics->GetCounter(name, {label})
      .Add(static_cast<std::uint64_t>(whole));
  fraction -= whole;
}

}  // namespace kumquatcart
