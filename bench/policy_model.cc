#include "policy_model.h"

#include <algorithm>
#include <utility>

namespace kumquatcart {

ModelEngine::ModelEngine(ManualClock* clock,
                         BackendId id,
                         int capacity,
                         std::size_t cached_prefixes)
    : clock(clock),
      id(std::move(id)),
      capacity(capacity),
      cached_prefixes(cached_prefixes) {
  this->MakeReport();
}

void ModelEngine::Accept(ModelCall call) {
  if (this->running >= this->capacity) {
    this->queue.push_back(std::move(call));
    return;
  }
  this->Run(call);
}

EngineLoad ModelEngine::Load() const {
  EngineLoad load;
  load.running = this->running;
  load.queued = static_cast<int>(this->queue.size());
  load.capacity = this->capacity;
  return load;
}

void ModelEngine::Run(const ModelCall& call) {
  ++this->running;
  const bool cached = this->TouchCache(call.prefix);
  const Duration prefill = cached ? call.cached_prefill : call.prefill;
  this->clock->CallAfter(prefill, [this, call, cached] {
    call.on_first_token(cached);
    this->clock->CallAfter(call.decode, [this, call] {
      this->Finish();
      call.on_done();
    });
  });
}

void ModelEngine::Finish() {
  --this->running;
  if (this->queue.empty()) {
    return;
  }
  const ModelCall next = std::move(this->queue.front());
  this->queue.pop_front();
  this->Run(next);
}

bool ModelEngine::TouchCache(const std::string& prefix) {
  const auto found = std::find(this->cache.begin(), this->cache.end(), prefix);
  const bool cached = found != this->cache.end();
  if (cached) {
    this->cache.erase(found);
  }
  this->cache.push_front(prefix);
  if (this->cache.size() > this->cached_prefixes) {
    this->cache.pop_back();
  }
  return cached;
}

}  // namespace kumquatcart
