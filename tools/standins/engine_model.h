// State of one engine and the orders it takes, without I/O.
#ifndef STANDINS_ENGINE_MODEL_H_
#define STANDINS_ENGINE_MODEL_H_

#include <set>
#include <string>

#include "base/clock.h"
#include "base/outcome.h"
#include "model/engine.h"
#include "model/request.h"

namespace kumquatcart::standins {

// What an accepted order asks its surroundings to do.
struct EngineEffects {
  bool start_load = false;   // Load the weights of the claimed version.
  bool cancel_load = false;  // The running load is of no more use.
  bool end_streams = false;  // Running streams break off.
};

// Not thread safe.
class EngineModel {
 public:
  // An engine that has just started: empty, with no weights.
  EngineModel(VmId vm, std::string incarnation, bool enforces_fence);

  // Takes or refuses an order that has waited for `waited`. Repeating an order
  // that was taken has no effect. Errors: kConflict.
  Result<EngineEffects> Take(const EngineOrder& order, Duration waited);

  // The weights of the claimed version have arrived.
  void FinishLoad();

  // Whether a new stream may start here. Errors: kConflict.
  Status CheckGenerate(const GenerateRequest& request) const;

  // State and claim; the load is left at its default.
  const EngineStatus& Report() const { return this->status; }

 private:
  Status CheckOrder(const EngineOrder& order, Duration waited) const;
  Status CheckOwnClaim(const EngineClaim& claim) const;
  Result<EngineEffects> Apply(const EngineOrder& order);
  Result<EngineEffects> Claim(const EngineClaim& claim);
  Result<EngineEffects> Serve(const EngineClaim& claim);
  Result<EngineEffects> Drain(const EngineClaim& claim);
  Result<EngineEffects> Release(const EngineClaim& claim);
  Result<EngineEffects> SetRole(const EngineClaim& claim);

  EngineStatus status;
  bool loading = false;
  std::set<OrderId> taken;
};

// The name of the weights that `claim` needs: "service/version".
std::string WeightsOf(const EngineClaim& claim);

}  // namespace kumquatcart::standins

#endif  // STANDINS_ENGINE_MODEL_H_
