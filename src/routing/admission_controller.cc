#include "routing/admission_controller.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "routing/routing_constants.h"
#include "routing/service_capacity.h"

namespace kumquatcart {

namespace {

// Run time of a service until a request has completed, in seconds.
constexpr double kInitialRunSeconds = 1.0;

// Weight of the latest run time in the moving average.
constexpr double kNewestRunWeight = 0.1;

// Lower bound of `retry_after_ms`, in milliseconds.
constexpr std::int64_t kMinRetryAfterMs = 100;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Error Refuse(ErrorCode code, std::string message, Duration retry_after) {
  Error error = MakeError(code, std::move(message));
  error.retry_after_ms = std::max(kMinRetryAfterMs, ToMillis(retry_after));
  return error;
}

Counter& RefusalCounter(MetricRegistry* metrics, const char* reason) {
  return metrics->GetCounter("kumquatcart_admission_refused_total",
                             {{"reason", reason}});
}

}  // namespace

SettingGroup DescribeSettings(AdmissionSettings* settings) {
  using std::chrono::milliseconds;
  return {
      "Admission",
      {NumberSetting("admission-overcommit",
                     "Requests sent to backend servers relative to their "
                     "capacity.",
                     &settings->overcommit, 0.1, 10),
       IntSetting("admission-queue-limit",
                  "Longest queue of one service, in requests.",
                  &settings->queue_limit, 0, 1000000),
       DurationSetting(
           "quota-burst-ms",
           "Burst of a rate quota, expressed as milliseconds at its "
           "rate.",
           &settings->quota_burst, milliseconds(100), milliseconds(60000)),
       NumberSetting("quota-floor",
                     "Fraction of a shared limit that is divided equally "
                     "between entry VMs, regardless of demand.",
                     &settings->quota_floor, 0, 1),
       DurationSetting("admission-sweep-ms",
                       "Interval in milliseconds between sweeps of the queues "
                       "of waiting requests.",
                       &settings->sweep_interval, milliseconds(5),
                       milliseconds(1000))}};
}

AdmissionController::AdmissionController(Clock* clock,
                                         Board* board,
                                         DemandTable* demand,
                                         MetricRegistry* metrics,
                                         AdmissionSettings settings)
    : clock(clock),
      board(board),
      demand(demand),
      settings(settings),
      admitted(metrics->GetCounter("kumquatcart_admission_admitted_total")),
      refused_quota(RefusalCounter(metrics, "quota")),
      refused_wait(RefusalCounter(metrics, "wait")),
      waiting_gauge(metrics->GetGauge("kumquatcart_admission_waiting")) {}

void AdmissionController::Start() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->running = true;
  this->ScheduleSweep();
}

void AdmissionController::Stop() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->running = false;
  this->clock->Cancel(this->sweep_timer);
}

void AdmissionController::Submit(const AdmissionRequest& request,
                                 DecisionCallback decide) {
  const DemandKey organisation_key{request.organisation, request.service};
  this->demand->Record(organisation_key, request.expected_cost);
  this->demand->Record({ObjectName(), request.service}, 1);
  const MonotonicTime now = this->clock->Now();
  Status status = Ok();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ServiceState& state = this->services[request.service];
    const int limit = this->ConcurrencyLimit(request.service);
    const auto running_now = static_cast<int>(state.running.size());
    const bool can_start = state.queue.Size() == 0 && running_now < limit;
    status = this->CheckQuota(request, now);
    if (status.has_value() && !can_start) {
      status = this->CheckWait(state, request, limit, now);
      if (status.has_value()) {
        state.queue.Push(request, this->WeightOf(request.organisation));
        this->decisions[request.request] = std::move(decide);
        return;
      }
    }
    if (status.has_value()) {
      this->Admit(request, &state, now);
    }
  }
  decide(status);
}

void AdmissionController::Complete(const AdmissionRequest& request,
                                   double cost) {
  const MonotonicTime now = this->clock->Now();
  DeferredDecisions deferred;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ServiceState& state = this->services[request.service];
    const auto started = state.running.find(request.request);
    if (started == state.running.end()) {
      return;
    }
    const double seconds = ToSeconds(now - started->second);
    state.mean_seconds =
        state.mean_seconds == 0
            ? seconds
            : state.mean_seconds +
                  kNewestRunWeight * (seconds - state.mean_seconds);
    state.running.erase(started);
    state.queue.AdjustCost(request, cost);
    const auto quota =
        this->quotas.find({request.organisation, request.service});
    if (quota != this->quotas.end()) {
      quota->second.concurrent = std::max(0, quota->second.concurrent - 1);
      if (quota->second.tokens) {
        quota->second.tokens->Spend(cost - request.expected_cost, now);
      }
    }
    this->AdmitQueued(request.service, &state, now, &deferred);
  }
  for (const DeferredDecision& deferred_decision : deferred) {
    deferred_decision.decide(deferred_decision.status);
  }
}

void AdmissionController::CancelWaiting(const RequestId& request) {
  DecisionCallback decide;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    decide = this->TakeDecision(request);
    if (!decide) {
      return;
    }
    for (auto& [service, state] : this->services) {
      state.queue.Remove(request);
    }
  }
  decide(MakeError(ErrorCode::kCancelled, "the caller went away"));
}

void AdmissionController::Sweep() {
  const MonotonicTime now = this->clock->Now();
  DeferredDecisions deferred;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::size_t waiting = 0;
    for (auto& [service, state] : this->services) {
      if (state.queue.Size() == 0) {
        continue;
      }
      this->AdmitQueued(service, &state, now, &deferred);
      this->RefuseInfeasible(&state, this->ConcurrencyLimit(service), now,
                             &deferred);
      waiting += state.queue.Size();
    }
    this->waiting_gauge.Set(static_cast<double>(waiting));
    if (this->running) {
      this->ScheduleSweep();
    }
  }
  for (const DeferredDecision& deferred_decision : deferred) {
    deferred_decision.decide(deferred_decision.status);
  }
}

Status AdmissionController::CheckQuota(const AdmissionRequest& request,
                                       MonotonicTime now) {
  const auto config = this->board->config.Read();
  const Quota* quota = this->FindQuota(*config, request);
  if (quota == nullptr) {
    return Ok();
  }
  QuotaState& state = this->RefreshQuota(*quota, now);
  const auto refuse = [&](const char* limit, Duration wait) {
    this->refused_quota.Add();
    return Refuse(
        ErrorCode::kExhausted,
        fmt::format("quota '{}' of organisation '{}' at service "
                    "'{}' is used up",
                    limit, request.organisation.value, request.service.value),
        wait);
  };
  if (state.requests && !state.requests->HasCredit(now)) {
    return refuse("requests_per_second", state.requests->TimeUntilCredit(now));
  }
  if (state.tokens && !state.tokens->HasCredit(now)) {
    return refuse("tokens_per_second", state.tokens->TimeUntilCredit(now));
  }
  if (quota->concurrent_requests > 0) {
    const DemandKey key{request.organisation, request.service};
    // At least 1, so that a node with a small share still admits requests.
    const int share = std::max(
        1, static_cast<int>(this->LocalShare(quota->concurrent_requests, key)));
    if (state.concurrent >= share) {
      return refuse("concurrent_requests", kNoBackendRetryAfter);
    }
  }
  return Ok();
}

const Quota* AdmissionController::FindQuota(
    const ConfigView& config,
    const AdmissionRequest& request) const {
  for (const auto& [name, quota] : config.quotas) {
    if (quota.body.organisation == request.organisation &&
        quota.body.service.value == request.service.value) {
      return &quota.body;
    }
  }
  return nullptr;
}

AdmissionController::QuotaState& AdmissionController::RefreshQuota(
    const Quota& quota,
    MonotonicTime now) {
  const DemandKey key{quota.organisation, ServiceName(quota.service.value)};
  QuotaState& state = this->quotas[key];
  const auto refresh = [&](double total, std::optional<TokenBucket>* bucket) {
    if (total <= 0) {
      bucket->reset();
      return;
    }
    const double share = this->LocalShare(total, key);
    if (!*bucket) {
      bucket->emplace(share, this->settings.quota_burst, now);
    }
    (*bucket)->SetRate(share, now);
  };
  refresh(quota.requests_per_second, &state.requests);
  refresh(quota.tokens_per_second, &state.tokens);
  return state;
}

double AdmissionController::LocalShare(double total,
                                       const DemandKey& key) const {
  const DemandByNode demand = this->demand->Read(key);
  return SplitQuota(total, this->settings.quota_floor, demand,
                    this->board->identity.id);
}

int AdmissionController::ConcurrencyLimit(const ServiceName& service) const {
  const int capacity = ServiceCapacity(*this->board->groups.Read(),
                                       *this->board->vms.Read(), service);
  if (capacity == 0) {
    return 0;
  }
  const double share =
      this->LocalShare(capacity * this->settings.overcommit, {{}, service});
  return std::max(1, static_cast<int>(std::lround(share)));
}

double AdmissionController::StartRate(const ServiceState& state,
                                      int limit,
                                      MonotonicTime now) const {
  double age_sum = 0;
  for (const auto& [request, started] : state.running) {
    age_sum += ToSeconds(now - started);
  }
  const auto count = static_cast<double>(state.running.size());
  // Running requests that are older than the average run time show that the
  // service has become slower.
  const double mean_age = count == 0 ? 0 : age_sum / count;
  const double measured =
      state.mean_seconds == 0 ? kInitialRunSeconds : state.mean_seconds;
  return limit / std::max({measured, mean_age, 1e-6});
}

double AdmissionController::WeightOf(const ObjectName& organisation) const {
  const auto config = this->board->config.Read();
  const auto found = config->organisations.find(organisation);
  const bool known =
      found != config->organisations.end() && found->second.body.weight > 0;
  return known ? found->second.body.weight : 1.0;
}

Status AdmissionController::CheckWait(const ServiceState& state,
                                      const AdmissionRequest& request,
                                      int limit,
                                      MonotonicTime now) const {
  if (limit == 0) {
    this->refused_wait.Add();
    return Refuse(ErrorCode::kUnavailable,
                  "no backend server can serve '" + request.service.value +
                      "' at the moment",
                  kNoBackendRetryAfter);
  }
  const double share = state.queue.Share(request.organisation,
                                         this->WeightOf(request.organisation));
  const double rate = this->StartRate(state, limit, now) * share;
  const auto ahead = static_cast<double>(
      state.queue.CountAhead(request.organisation, request.priority) + 1);
  const MonotonicTime start = PredictStart(now, ahead, rate);
  const bool full = state.queue.Size() >=
                    static_cast<std::size_t>(this->settings.queue_limit);
  if (start <= request.deadline && !full) {
    return Ok();
  }
  this->refused_wait.Add();
  return Refuse(ErrorCode::kExhausted,
                "service '" + request.service.value +
                    "' is too busy to start this request in time",
                start - now);
}

void AdmissionController::Admit(const AdmissionRequest& request,
                                ServiceState* state,
                                MonotonicTime now) {
  state->running[request.request] = now;
  this->admitted.Add();
  const auto quota = this->quotas.find({request.organisation, request.service});
  if (quota == this->quotas.end()) {
    return;
  }
  ++quota->second.concurrent;
  if (quota->second.requests) {
    quota->second.requests->Spend(1, now);
  }
  if (quota->second.tokens) {
    quota->second.tokens->Spend(request.expected_cost, now);
  }
}

void AdmissionController::AdmitQueued(const ServiceName& service,
                                      ServiceState* state,
                                      MonotonicTime now,
                                      DeferredDecisions* deferred) {
  const auto limit = static_cast<std::size_t>(this->ConcurrencyLimit(service));
  while (state->running.size() < limit) {
    const std::optional<AdmissionRequest> next = state->queue.Pop();
    if (!next) {
      return;
    }
    DecisionCallback decide = this->TakeDecision(next->request);
    if (!decide) {
      continue;
    }
    this->Admit(*next, state, now);
    deferred->push_back({std::move(decide), Ok()});
  }
}

void AdmissionController::RefuseInfeasible(ServiceState* state,
                                           int limit,
                                           MonotonicTime now,
                                           DeferredDecisions* deferred) {
  const double rate = this->StartRate(*state, limit, now);
  for (const AdmissionRequest& request :
       state->queue.RemoveInfeasible(now, rate)) {
    DecisionCallback decide = this->TakeDecision(request.request);
    if (!decide) {
      continue;
    }
    this->refused_wait.Add();
    const auto queued = static_cast<double>(state->queue.Size() + 1);
    const Duration wait = PredictStart(now, queued, rate) - now;
    deferred->push_back(
        {std::move(decide),
         Refuse(ErrorCode::kExhausted,
                "service '" + request.service.value +
                    "' became too busy to start this request in time",
                wait)});
  }
}

Admission::DecisionCallback AdmissionController::TakeDecision(
    const RequestId& request) {
  const auto found = this->decisions.find(request);
  if (found == this->decisions.end()) {
    return {};
  }
  DecisionCallback decide = std::move(found->second);
  this->decisions.erase(found);
  return decide;
}

void AdmissionController::ScheduleSweep() {
  this->sweep_timer = this->clock->CallAfter(this->settings.sweep_interval,
                                             [this] { this->Sweep(); });
}

}  // namespace kumquatcart
