// Lets large allocations of a test program fail.
#ifndef FAKES_ALLOCATION_LIMIT_H_
#define FAKES_ALLOCATION_LIMIT_H_

#include <cstddef>

namespace kumquatcart {

// During its lifetime, allocations by `new` of more than `max_bytes` throw
// std::bad_alloc, on all threads. At most one instance may exist.
class AllocationLimit {
 public:
  explicit AllocationLimit(std::size_t max_bytes);
  ~AllocationLimit();
  AllocationLimit(const AllocationLimit&) = delete;
  AllocationLimit& operator=(const AllocationLimit&) = delete;
};

}  // namespace kumquatcart

#endif  // FAKES_ALLOCATION_LIMIT_H_
