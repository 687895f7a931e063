// When calls arrived at the store.
#ifndef SOAK_STORE_CALLS_H_
#define SOAK_STORE_CALLS_H_

#include <vector>

#include "base/clock.h"

namespace kumquatcart::soak {

// The soak's one thread uses it.
class StoreCalls {
 public:
  // Precondition: calls come in order.
  void Note(MonotonicTime at) { this->times.push_back(at); }

  // The most calls in any half-open interval of that length.
  int MostWithin(Duration length) const;
  // The median over the seconds from the first call to the last; 0 if there was
  // none.
  int MedianPerSecond() const;

 private:
  std::vector<MonotonicTime> times;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_STORE_CALLS_H_
