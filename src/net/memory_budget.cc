#include "net/memory_budget.h"

#include <numeric>
#include <utility>

namespace kumquatcart {

const char* ToString(MemoryUse use) {
  constexpr std::array<const char*, kMemoryUses> kNames = {"connection",
                                                           "request"};
  return kNames[static_cast<std::size_t>(use)];
}

std::size_t MemoryBudget::Held() const {
  return std::accumulate(this->held.begin(), this->held.end(), std::size_t{0});
}

std::size_t MemoryBudget::Free() const {
  const std::size_t all = this->Held();
  return all < this->capacity ? this->capacity - all : 0;
}

MemoryLease::MemoryLease(MemoryLease&& other) noexcept
    : budget(other.budget),
      use(other.use),
      bytes(std::exchange(other.bytes, 0)) {}

MemoryLease& MemoryLease::operator=(MemoryLease&& other) noexcept {
  if (this != &other) {
    this->Set(0);
    this->budget = other.budget;
    this->use = other.use;
    this->bytes = std::exchange(other.bytes, 0);
  }
  return *this;
}

void MemoryLease::Set(std::size_t next) {
  if (this->budget == nullptr) {
    return;
  }
  std::size_t& held = this->budget->held[static_cast<std::size_t>(this->use)];
  held = held - this->bytes + next;
  this->bytes = next;
}

}  // namespace kumquatcart
