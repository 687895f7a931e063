#include "control/engine_watcher.h"

#include <utility>

#include "base/logging.h"

namespace kumquatcart {

namespace {

// After this many consecutive failures a VM is polled only once in
// `kBackoffRounds` rounds, so that an unreachable fabric domain does not occupy
// the worker pool.
constexpr int kFailuresBeforeBackoff = 4;
constexpr std::uint64_t kBackoffRounds = 4;

bool DiffersBeyondLoad(const EngineStatus& left, EngineStatus right) {
  right.load = left.load;
  return left != right;
}

}  // namespace

EngineWatcher::EngineWatcher(Clock* clock,
                             WorkerPool* pool,
                             Board* board,
                             EngineControl* engine_control,
                             MetricRegistry* metrics,
                             const WatchSettings& settings)
    : clock(clock),
      pool(pool),
      board(board),
      engine_control(engine_control),
      settings(settings),
      polls(&metrics->GetCounter("kumquatcart_backend_polls_total")),
      failures(&metrics->GetCounter("kumquatcart_backend_poll_failures_total")),
      latency(&metrics->GetHistogram("kumquatcart_backend_poll_seconds")),
      task(clock, pool, settings.poll_interval, [this] {
        for (Job& job : this->TakeDuePolls()) {
          this->pool->Post(std::move(job));
        }
        this->PublishObservations();
      }) {}

void EngineWatcher::SetSelector(Selector selector) {
  this->selector = std::move(selector);
}

void EngineWatcher::Start() {
  this->task.Start();
}

void EngineWatcher::Stop() {
  this->task.Stop();
  std::unique_lock<std::mutex> lock(this->mutex);
  this->idle.wait(lock, [this] { return this->in_flight.empty(); });
}

void EngineWatcher::PollOnce() {
  this->pool->RunAll(this->TakeDuePolls());
  this->PublishObservations();
}

std::vector<EngineWatcher::Job> EngineWatcher::TakeDuePolls() {
  const auto table = this->board->vms.Read();
  std::vector<Vm> watched;
  for (const auto& [id, vm] : table->vms) {
    if (this->IsWatched(vm)) {
      watched.push_back(vm);
    }
  }
  std::vector<Job> jobs;
  std::map<VmId, EngineObservation> kept;
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->round;
  for (const Vm& vm : watched) {
    const auto known = this->observations.find(vm.id);
    if (known != this->observations.end()) {
      kept.insert(*known);
    }
    if (this->IsDue(vm.id)) {
      this->in_flight.insert(vm.id);
      jobs.emplace_back([this, vm] { this->Poll(vm); });
    }
  }
  this->observations = std::move(kept);
  return jobs;
}

bool EngineWatcher::IsWatched(const Vm& vm) const {
  if (vm.role == VmRole::kEntry) {
    return false;
  }
  const bool own = vm.failure_domain == this->board->identity.failure_domain;
  if (!own && this->settings.scope != kWatchScopeAll) {
    return false;
  }
  return !this->selector || this->selector(vm);
}

bool EngineWatcher::IsDue(const VmId& vm) const {
  if (this->in_flight.count(vm) > 0) {
    return false;
  }
  const auto known = this->observations.find(vm);
  const bool failing =
      known != this->observations.end() &&
      known->second.consecutive_failures >= kFailuresBeforeBackoff;
  return !failing || this->round % kBackoffRounds == 0;
}

void EngineWatcher::Poll(const Vm& vm) {
  const MonotonicTime started = this->clock->Now();
  const Result<EngineStatus> answer = this->RequestStatus(vm);
  this->latency->Record(this->clock->Now() - started);
  if (this->Store(vm, answer)) {
    this->PublishObservations();
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->in_flight.erase(vm.id);
  this->idle.notify_all();
}

Result<EngineStatus> EngineWatcher::RequestStatus(const Vm& vm) {
  this->polls->Add();
  if (vm.role == VmRole::kEngine) {
    BOOST_OUTCOME_TRY(status, this->engine_control->FetchStatus(
                                  vm.endpoint, this->settings.poll_timeout));
    // The address may have been reassigned to another VM since it was listed.
    if (status.vm != vm.id) {
      return MakeError(
          ErrorCode::kUnavailable,
          "the engine at this address reports VM " + status.vm.value);
    }
    return EngineStatus(std::move(status));
  }
  BOOST_OUTCOME_TRYV(this->engine_control->ProbeService(
      vm.endpoint, this->settings.poll_timeout));
  EngineStatus status;
  status.vm = vm.id;
  return status;
}

bool EngineWatcher::Store(const Vm& vm, const Result<EngineStatus>& answer) {
  const MonotonicTime now = this->clock->Now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  EngineObservation& observation = this->observations[vm.id];
  if (!answer.has_value()) {
    this->failures->Add();
    ++observation.consecutive_failures;
    if (observation.consecutive_failures == 1) {
      LogInfo("backend_poll_failed",
              {{"vm", vm.id}, {"error", answer.error().message}});
    }
    return false;
  }
  const bool first = observation.observed_at == MonotonicTime{};
  const bool changed =
      first || DiffersBeyondLoad(observation.status, answer.value());
  observation.status = answer.value();
  observation.observed_at = now;
  observation.consecutive_failures = 0;
  return changed;
}

void EngineWatcher::PublishObservations() {
  const std::lock_guard<std::mutex> publish_lock(this->publish_mutex);
  EngineTable table;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    table.engines = this->observations;
  }
  this->board->engines.Publish(std::move(table));
}

}  // namespace kumquatcart
