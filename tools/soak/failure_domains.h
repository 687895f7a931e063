// Names of the failure domains that VMs are spread over.
#ifndef SOAK_FAILURE_DOMAINS_H_
#define SOAK_FAILURE_DOMAINS_H_

#include <string>

namespace kumquatcart::soak {

// The domain of the VM with `number`, from 0 on, of `count` domains. Thread
// safe.
inline std::string FailureDomainOf(int number, int count) {
  const int index = number % count;
  return index == 0 ? "zone" : "zone-" + std::to_string(index);
}

}  // namespace kumquatcart::soak

#endif  // SOAK_FAILURE_DOMAINS_H_
