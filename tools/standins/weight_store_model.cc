#include "standins/weight_store_model.h"

#include <chrono>

namespace kumquatcart::standins {

WeightStoreModel::WeightStoreModel(std::int64_t bytes_per_second,
                                   MonotonicTime now)
    : bytes_per_second(bytes_per_second), advanced_to(now) {}

void WeightStoreModel::Start(const VmId& vm,
                             std::int64_t bytes,
                             MonotonicTime now) {
  // Loads that end right now are reported by the next Advance.
  this->Cancel(vm, now);
  this->remaining_bytes[vm] = static_cast<double>(bytes);
}

void WeightStoreModel::Cancel(const VmId& vm, MonotonicTime now) {
  const std::vector<VmId> done = this->Advance(now);
  for (const VmId& other : done) {
    this->remaining_bytes[other] = 0;
  }
  this->remaining_bytes.erase(vm);
}

std::vector<VmId> WeightStoreModel::Advance(MonotonicTime now) {
  const double elapsed =
      std::chrono::duration<double>(now - this->advanced_to).count();
  this->advanced_to = now;
  std::vector<VmId> done;
  if (this->remaining_bytes.empty()) {
    return done;
  }
  const double share = elapsed * static_cast<double>(this->bytes_per_second) /
                       static_cast<double>(this->remaining_bytes.size());
  for (auto& [vm, remaining] : this->remaining_bytes) {
    remaining -= share;
    if (remaining <= 0) {
      done.push_back(vm);
    }
  }
  for (const VmId& vm : done) {
    this->remaining_bytes.erase(vm);
  }
  return done;
}

WeightStoreStatus WeightStoreModel::Status() const {
  return WeightStoreStatus{this->bytes_per_second,
                           static_cast<int>(this->remaining_bytes.size())};
}

}  // namespace kumquatcart::standins
