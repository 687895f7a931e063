// Failure domains that the operator has ordered to be evacuated.
#ifndef CONTROL_EVACUATIONS_H_
#define CONTROL_EVACUATIONS_H_

#include <cstddef>
#include <map>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// While a failure domain is evacuated, its backend servers receive no further
// requests; those in progress end there. The operator's records are the only
// source: an order holds until its record is removed, also while the store is
// down, and each process reads the orders in force when it starts. Not thread
// safe: used on the event loop's thread.
class Evacuations {
 public:
  // Puts an order in force. Returns whether it is new. Orders for failure
  // domains in which nothing runs are kept as well: servers may start there.
  // Ignored, and logged, for a name that is no failure domain's, and once
  // kMaxOrders are in force.
  bool Order(const std::string& failure_domain, MonotonicTime now);

  // Ends an order. Returns whether it was in force.
  bool Lift(const std::string& failure_domain, MonotonicTime now);

  bool IsEvacuated(const std::string& failure_domain) const {
    return this->orders.count(failure_domain) > 0;
  }

  // The evacuated failure domains, with the time since when this process has
  // observed the order.
  const std::map<std::string, MonotonicTime>& Orders() const {
    return this->orders;
  }

  // Far more than a deployment has failure domains.
  static constexpr std::size_t kMaxOrders = 256;

 private:
  std::map<std::string, MonotonicTime> orders;
};

}  // namespace kumquatcart

#endif  // CONTROL_EVACUATIONS_H_
