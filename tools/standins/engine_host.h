// A model engine on its own port.
#ifndef STANDINS_ENGINE_HOST_H_
#define STANDINS_ENGINE_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/engine_model.h"
#include "standins/execution_counts.h"
#include "standins/generation_stream.h"
#include "standins/lagged_value.h"
#include "standins/prefix_cache.h"
#include "standins/vm_host.h"
#include "standins/weight_store_model.h"

namespace kumquatcart::standins {

class EngineHost;

// What the engines of one process share. Owned by the stand-ins.
struct EngineSurroundings {
  EngineSettings settings;
  WeightStoreModel* weights = nullptr;
  ExecutionCounts* counts = nullptr;
  // The engine on a VM, or null.
  std::function<const EngineHost*(const VmId& vm)> find;
};

// Everything runs on the io_context's thread.
class EngineHost : public VmHost {
 public:
  // Preconditions: everything pointed to outlives the host.
  EngineHost(boost::asio::io_context* context,
             Scheduler* scheduler,
             TopologyVm topology,
             const EngineSurroundings* surroundings);

  // The store has delivered this engine's weights.
  void FinishLoad() { this->model.FinishLoad(); }

  // Leaves out the next events of the prefix cache.
  void DropCacheEvents(int count) { this->cache.DropEvents(count); }

  const EngineModel& Model() const { return this->model; }

 protected:
  void Handle(const HttpRequest& request,
              ConnectionPtr connection,
              Duration waited) override;
  void Reset() override;

 private:
  void AnswerStatus(const ConnectionPtr& connection);
  void TakeOrder(const HttpRequest& request,
                 const ConnectionPtr& connection,
                 Duration waited);
  void ApplyEffects(const EngineEffects& effects);
  void Generate(const HttpRequest& request, const ConnectionPtr& connection);
  void StartWaiting();
  void EndStreams();
  void Cancel(const HttpRequest& request, const ConnectionPtr& connection);
  void AnswerCacheEvents(const HttpRequest& request,
                         const ConnectionPtr& connection);
  void AnswerKv(const HttpRequest& request, const ConnectionPtr& connection);
  StreamPace PaceOf(const EngineClaim& claim) const;
  EngineStatus CurrentStatus();
  void RecordLoad();

  const EngineSurroundings* surroundings;
  EngineModel model;
  PrefixCache cache;
  LaggedValue<EngineLoad> load;
  std::map<AttemptId, std::shared_ptr<GenerationStream>> running;
  std::vector<std::shared_ptr<GenerationStream>> waiting;
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_ENGINE_HOST_H_
