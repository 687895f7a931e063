// The platform's rate-limited store of model weights.
#ifndef PLATFORM_WEIGHT_STORE_H_
#define PLATFORM_WEIGHT_STORE_H_

#include <cstdint>
#include <tuple>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "base/outcome.h"

namespace kumquatcart {

// What the store has to give and what is already being loaded from it.
struct WeightStoreStatus {
  std::int64_t bytes_per_second = 0;  // Shared by all loads.
  int active_loads = 0;

  auto Tie() const {
    return std::tie(this->bytes_per_second, this->active_loads);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WeightStoreStatus,
                                   bytes_per_second,
                                   active_loads)

// Blocking client of the store. Engines fetch weights themselves. Thread safe.
class WeightStore {
 public:
  virtual ~WeightStore() = default;

  // Errors: kUnavailable, kTimeout.
  virtual Result<WeightStoreStatus> FetchStatus() = 0;
};

}  // namespace kumquatcart

#endif  // PLATFORM_WEIGHT_STORE_H_
