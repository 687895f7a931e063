// In-memory engines behind the engine control interface, with faults.
#ifndef FAKES_FAKE_ENGINE_FLEET_H_
#define FAKES_FAKE_ENGINE_FLEET_H_

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "model/engine.h"
#include "model/vm.h"
#include "platform/engine_control.h"

namespace kumquatcart {

// An order as an engine took it.
struct TakenOrder {
  VmId vm;
  FencingNumber fence = 0;
  EngineOrderKind kind = EngineOrderKind::kClaim;
  int restarts = 0;  // Of the engine before it took the order.
};

// Engines addressed by their VM's name as host. Weights load when the test says
// so. Thread safe.
class FakeEngineFleet : public EngineControl {
 public:
  void Add(const VmId& vm, bool enforces_fence = true) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    EngineStatus status;
    status.vm = vm;
    status.enforces_fence = enforces_fence;
    this->engines[vm] = status;
  }

  Result<EngineStatus> FetchStatus(const Endpoint& endpoint,
                                   Duration timeout) override {
    static_cast<void>(timeout);
    const std::lock_guard<std::mutex> lock(this->mutex);
    const VmId vm(endpoint.host);
    if (this->silent.count(vm) > 0) {
      return MakeError(ErrorCode::kTimeout, "silent");
    }
    return this->engines.at(vm);
  }

  Result<EngineStatus> SendOrder(const Endpoint& endpoint,
                                 const EngineOrder& order,
                                 Duration timeout) override {
    static_cast<void>(timeout);
    const std::lock_guard<std::mutex> lock(this->mutex);
    const VmId vm(endpoint.host);
    if (this->silent.count(vm) > 0) {
      return MakeError(ErrorCode::kTimeout, "silent");
    }
    if (this->delaying) {
      this->delayed.push_back(order);
      return MakeError(ErrorCode::kTimeout, "delayed");
    }
    return this->Apply(order);
  }

  Status ProbeService(const Endpoint& endpoint, Duration timeout) override {
    static_cast<void>(endpoint);
    static_cast<void>(timeout);
    return Ok();
  }

  // Orders from now on are held back until DeliverDelayed.
  void DelayOrders() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->delaying = true;
  }

  // Later orders pass at once; what was held back still waits.
  void StopDelaying() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->delaying = false;
  }

  std::size_t DelayedCount() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->delayed.size();
  }

  // Delivers what was held back; later orders pass at once.
  void DeliverDelayed() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->delaying = false;
    for (const EngineOrder& order : this->delayed) {
      static_cast<void>(this->Apply(order));
    }
    this->delayed.clear();
  }

  void SetSilent(const VmId& vm, bool is_silent) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (is_silent) {
      this->silent[vm] = true;
    } else {
      this->silent.erase(vm);
    }
  }

  // The engine process restarts and forgets everything.
  void Restart(const VmId& vm) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    EngineStatus& status = this->engines.at(vm);
    EngineStatus fresh;
    fresh.vm = vm;
    fresh.enforces_fence = status.enforces_fence;
    status = fresh;
    ++this->restarts[vm];
  }

  void SetRunning(const VmId& vm, int streams) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->engines.at(vm).load.running = streams;
  }

  // Every claimed engine has its weights now.
  void FinishLoads() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (auto& [vm, status] : this->engines) {
      if (!status.claim.group.IsEmpty()) {
        status.loaded_version =
            status.claim.service.value + "/" + status.claim.version;
      }
    }
  }

  EngineStatus StatusOf(const VmId& vm) const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->engines.at(vm);
  }

  // What a watcher that observed every engine at `now` would publish.
  EngineTable Observe(MonotonicTime now, const EngineTable& before) const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    EngineTable table = before;
    for (const auto& [vm, status] : this->engines) {
      if (this->silent.count(vm) == 0) {
        table.engines[vm] = EngineObservation{status, now, 0};
      }
    }
    return table;
  }

  std::vector<TakenOrder> AcceptedOrders() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->taken;
  }

  int StreamsEnded() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->streams_ended;
  }

 private:
  static Error Refuse(const char* reason) {
    return MakeError(ErrorCode::kConflict, reason);
  }

  Result<EngineStatus> Apply(const EngineOrder& order) {
    EngineStatus& status = this->engines.at(order.vm);
    if (status.enforces_fence && order.fence < status.fence) {
      return Refuse("old fencing number");
    }
    const bool own = order.claim.group == status.claim.group &&
                     order.claim.epoch == status.claim.epoch;
    const bool empty = status.claim.group.IsEmpty();
    const std::string weights =
        order.claim.service.value + "/" + order.claim.version;
    switch (order.kind) {
      case EngineOrderKind::kClaim: {
        const bool newer = order.claim.group == status.claim.group &&
                           order.claim.epoch > status.claim.epoch;
        if (!empty && !newer && order.claim != status.claim) {
          return Refuse("other claim");
        }
        this->EndStreams(&status);
        status.claim = order.claim;
        status.state = EngineState::kLoading;
        if (status.loaded_version != weights) {
          status.loaded_version.clear();
        }
        break;
      }
      case EngineOrderKind::kServe:
        if (empty || !own || status.loaded_version != weights) {
          return Refuse("not loaded");
        }
        status.state = EngineState::kReady;
        break;
      case EngineOrderKind::kDrain:
        if (!own) {
          return Refuse("other claim");
        }
        status.state = EngineState::kDraining;
        break;
      case EngineOrderKind::kRelease:
        if (!empty && !own) {
          return Refuse("other claim");
        }
        this->EndStreams(&status);
        status.claim = EngineClaim();
        status.state = EngineState::kEmpty;
        break;
      case EngineOrderKind::kSetRole:
        if (!own) {
          return Refuse("other claim");
        }
        status.claim.role = order.claim.role;
        break;
    }
    status.fence = std::max(status.fence, order.fence);
    this->taken.push_back(TakenOrder{order.vm, order.fence, order.kind,
                                     this->restarts[order.vm]});
    return status;
  }

  void EndStreams(EngineStatus* status) {
    this->streams_ended += status->load.running;
    status->load.running = 0;
  }

  mutable std::mutex mutex;
  std::map<VmId, EngineStatus> engines;
  std::map<VmId, bool> silent;
  std::map<VmId, int> restarts;
  bool delaying = false;
  std::vector<EngineOrder> delayed;
  std::vector<TakenOrder> taken;
  int streams_ended = 0;
};

}  // namespace kumquatcart

#endif  // FAKES_FAKE_ENGINE_FLEET_H_
