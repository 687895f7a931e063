#include "fakes/allocation_limit.h"

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>

namespace kumquatcart {
namespace {

std::atomic<std::size_t> max_allocation_bytes{SIZE_MAX};

}  // namespace

AllocationLimit::AllocationLimit(std::size_t max_bytes) {
  max_allocation_bytes = max_bytes;
}

AllocationLimit::~AllocationLimit() {
  max_allocation_bytes = SIZE_MAX;
}

}  // namespace kumquatcart

void* operator new(std::size_t size) {
  void* const memory = size <= kumquatcart::max_allocation_bytes
                           ? std::malloc(size > 0 ? size : 1)
                           : nullptr;
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}
