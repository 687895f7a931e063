// A small queueing model of engines, for comparing routing policies on the same
// arrivals.
//
// One process, one paused clock. It models what a policy can see and influence
// (streams at once, queueing, a prefix cache, lagged load reports), and nothing
// of the network or of the system's own processes.
#ifndef BENCH_POLICY_MODEL_H_
#define BENCH_POLICY_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "base/clock.h"
#include "model/engine.h"
#include "routing/backend_id.h"

namespace kumquatcart {

// One call for an answer.
struct ModelCall {
  std::string prefix;   // Names the conversation whose prompt may be cached.
  Duration prefill{0};  // Time to the first token without a cached prefix.
  Duration cached_prefill{0};
  Duration decode{0};  // From the first token to the end.
  std::function<void(bool cached)> on_first_token;
  std::function<void()> on_done;
};

// An engine that runs a fixed number of streams, queues the rest in order, and
// remembers the last prefixes.
class ModelEngine {
 public:
  ModelEngine(ManualClock* clock,
              BackendId id,
              int capacity,
              std::size_t cached_prefixes);

  void Accept(ModelCall call);

  // Load now.
  EngineLoad Load() const;

  // Remembers the load as the next report.
  void MakeReport() { this->report = this->Load(); }
  const EngineLoad& LastReport() const { return this->report; }
  const BackendId& Id() const { return this->id; }

 private:
  void Run(const ModelCall& call);
  void Finish();
  bool TouchCache(const std::string& prefix);

  ManualClock* clock;
  const BackendId id;
  const int capacity;
  const std::size_t cached_prefixes;
  int running = 0;
  std::deque<ModelCall> queue;
  std::list<std::string> cache;  // Most recently used first.
  EngineLoad report;
};

}  // namespace kumquatcart

#endif  // BENCH_POLICY_MODEL_H_
