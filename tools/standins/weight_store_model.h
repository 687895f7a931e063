// Weight loads that share the store's rate, without I/O.
#ifndef STANDINS_WEIGHT_STORE_MODEL_H_
#define STANDINS_WEIGHT_STORE_MODEL_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "platform/weight_store.h"

namespace kumquatcart::standins {

// Every active load gets the same share of the rate. Not thread safe.
class WeightStoreModel {
 public:
  // Precondition: `bytes_per_second` is above zero.
  WeightStoreModel(std::int64_t bytes_per_second, MonotonicTime now);

  // Starts a load, in place of one that `vm` may have.
  void Start(const VmId& vm, std::int64_t bytes, MonotonicTime now);
  void Cancel(const VmId& vm, MonotonicTime now);

  // Moves loads forward to `now`; returns the VMs whose load is done.
  std::vector<VmId> Advance(MonotonicTime now);

  WeightStoreStatus Status() const;

 private:
  const std::int64_t bytes_per_second;
  MonotonicTime advanced_to;
  std::map<VmId, double> remaining_bytes;
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_WEIGHT_STORE_MODEL_H_
