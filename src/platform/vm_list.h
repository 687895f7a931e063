// The platform's list of VMs.
#ifndef PLATFORM_VM_LIST_H_
#define PLATFORM_VM_LIST_H_

#include "base/outcome.h"
#include "model/vm.h"

namespace kumquatcart {

// Blocking client of the VM list. Thread safe.
class VmList {
 public:
  virtual ~VmList() = default;

  // The list as the platform has it now, which lags. Errors: kUnavailable,
  // kTimeout.
  virtual Result<VmTable> Fetch() = 0;
};

}  // namespace kumquatcart

#endif  // PLATFORM_VM_LIST_H_
