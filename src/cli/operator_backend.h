// What operator commands talk to.
#ifndef CLI_OPERATOR_BACKEND_H_
#define CLI_OPERATOR_BACKEND_H_

#include <functional>
#include <memory>

#include "base/clock.h"
#include "base/json.h"
#include "cli/operator_options.h"
#include "platform/log_service.h"
#include "platform/vm_list.h"

namespace kumquatcart {

// The platform and the entry VMs, as operator commands use them. Blocking; used
// from one thread.
class OperatorBackend {
 public:
  virtual ~OperatorBackend() = default;

  virtual LogService* Log() = 0;
  virtual VmList* Vms() = 0;

  // Answer of GET /status of the entry VM at `endpoint`. Errors: kUnavailable,
  // kTimeout, kInvalidArgument when it is not JSON.
  virtual Result<Json> FetchStatus(const Endpoint& endpoint) = 0;
};

// Makes the backend once the options are known.
using OperatorBackendFactory = std::function<std::unique_ptr<OperatorBackend>(
    const OperatorOptions& options,
    Clock* clock)>;

// A backend over HTTP. Precondition: `clock` outlives it.
std::unique_ptr<OperatorBackend> MakeHttpOperatorBackend(
    const OperatorOptions& options,
    Clock* clock);

}  // namespace kumquatcart

#endif  // CLI_OPERATOR_BACKEND_H_
