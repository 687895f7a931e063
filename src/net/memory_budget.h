// Accounts for memory that the process holds for others.
#ifndef NET_MEMORY_BUDGET_H_
#define NET_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>

namespace kumquatcart {

// What memory is held for.
enum class MemoryUse {
  kConnection,  // Of a caller: coroutine, unconsumed input, unsent answers.
  kRequest,     // Bodies from their first byte to the end of forwarding.
};
inline constexpr std::size_t kMemoryUses = 2;

// Lower-case name for metrics. Thread safe.
const char* ToString(MemoryUse use);

// The sum of all leases. It only counts: owners of leases decide what to do
// when it is exceeded. Not thread safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t capacity_bytes)
      : capacity(capacity_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::size_t Capacity() const { return this->capacity; }
  std::size_t Held(MemoryUse use) const {
    return this->held[static_cast<std::size_t>(use)];
  }
  std::size_t Held() const;
  // Bytes left; 0 when the capacity is exceeded.
  std::size_t Free() const;

 private:
  friend class MemoryLease;

  const std::size_t capacity;
  std::array<std::size_t, kMemoryUses> held{};
};

// A part of a budget, returned when this object ends. Without a budget it
// counts nothing. Not thread safe.
class MemoryLease {
 public:
  MemoryLease() = default;
  // Precondition: `budget` outlives this object and those moved from it.
  MemoryLease(MemoryBudget* budget, MemoryUse use) : budget(budget), use(use) {}
  ~MemoryLease() { this->Set(0); }
  MemoryLease(MemoryLease&& other) noexcept;
  MemoryLease& operator=(MemoryLease&& other) noexcept;
  MemoryLease(const MemoryLease&) = delete;
  MemoryLease& operator=(const MemoryLease&) = delete;

  // Sets the size of the part, also beyond the budget's capacity.
  void Set(std::size_t next);
  std::size_t Bytes() const { return this->bytes; }

 private:
  MemoryBudget* budget = nullptr;
  MemoryUse use = MemoryUse::kConnection;
  std::size_t bytes = 0;
};

}  // namespace kumquatcart

#endif  // NET_MEMORY_BUDGET_H_
