// Compares placement intents with the VMs that the platform lists.
#ifndef CLI_CAPACITY_CHECK_H_
#define CLI_CAPACITY_CHECK_H_

#include <string>
#include <vector>

#include "model/config_view.h"
#include "model/vm.h"

namespace kumquatcart {

// One warning for each failure domain whose placement intents ask for more VMs
// than it has live engines. The list lags, so this
// never refuses a change set. Pure; thread safe.
std::vector<std::string> CheckCapacity(const ConfigView& view,
                                       const VmTable& vms);

}  // namespace kumquatcart

#endif  // CLI_CAPACITY_CHECK_H_
