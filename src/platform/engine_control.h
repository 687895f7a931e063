// Status and orders of model engines.
#ifndef PLATFORM_ENGINE_CONTROL_H_
#define PLATFORM_ENGINE_CONTROL_H_

#include "base/clock.h"
#include "base/outcome.h"
#include "model/engine.h"
#include "model/vm.h"

namespace kumquatcart {

// Blocking client of the engines' control interface. All methods are thread
// safe.
class EngineControl {
 public:
  virtual ~EngineControl() = default;

  // Asks the engine at `endpoint` for its status. Errors: kUnavailable,
  // kTimeout.
  virtual Result<EngineStatus> FetchStatus(const Endpoint& endpoint,
                                           Duration timeout) = 0;

  // Gives an order; returns the status after it took effect. Errors: kConflict
  // when the engine refused it (old fencing number, other claim, expired);
  // kUnavailable when it provably was not received; kUnknown when the answer
  // was lost: fetch the status.
  virtual Result<EngineStatus> SendOrder(const Endpoint& endpoint,
                                         const EngineOrder& order,
                                         Duration timeout) = 0;

  // Cheap liveness check of a plain service. Errors: kUnavailable, kTimeout.
  virtual Status ProbeService(const Endpoint& endpoint, Duration timeout) = 0;
};

}  // namespace kumquatcart

#endif  // PLATFORM_ENGINE_CONTROL_H_
