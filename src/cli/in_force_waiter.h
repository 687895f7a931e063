// Waits until entry VMs have a configuration in force.
#ifndef CLI_IN_FORCE_WAITER_H_
#define CLI_IN_FORCE_WAITER_H_

#include <string>
#include <vector>

#include "cli/operator_backend.h"
#include "model/log_record.h"

namespace kumquatcart {

// An entry VM that does not report the offset yet.
struct LaggingNode {
  Endpoint endpoint;
  std::string state;  // The offset it reports, or why it does not answer.
};

// Asks `seeds` and every live member they name, each directly, until all report
// at least `offset` or `timeout` has passed. Returns those which do not; empty
// when it is in force everywhere.
std::vector<LaggingNode> WaitInForce(OperatorBackend* backend,
                                     Clock* clock,
                                     const std::vector<Endpoint>& seeds,
                                     Offset offset,
                                     Duration timeout);

}  // namespace kumquatcart

#endif  // CLI_IN_FORCE_WAITER_H_
