#include "control/spare_reserve.h"

#include <chrono>
#include <cmath>

namespace kumquatcart {

int SpareReserve(int vm_count, const PlacementLimits& limits) {
  using Days = std::chrono::duration<double, std::ratio<86400>>;
  const double days_unavailable = Days(limits.repair_time).count();
  // The number of unavailable VMs has a Poisson distribution with this mean.
  const double mean = vm_count * limits.failures_per_vm_day * days_unavailable;
  double probability = std::exp(-mean);
  double cumulative = probability;
  int spares = 0;
  while (1.0 - cumulative > limits.spare_shortage_probability &&
         spares < vm_count) {
    ++spares;
    probability *= mean / spares;
    cumulative += probability;
  }
  return spares;
}

}  // namespace kumquatcart
