// The operations page of an entry VM.
#ifndef CLI_OPS_PAGE_H_
#define CLI_OPS_PAGE_H_

#include <string>

namespace kumquatcart {

// HTML of the page served at /ops. It reads /status and /metrics of the same
// entry VM every two seconds and needs nothing from elsewhere.
const std::string& OpsPageHtml();

}  // namespace kumquatcart

#endif  // CLI_OPS_PAGE_H_
