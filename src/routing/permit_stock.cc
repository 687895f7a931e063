#include "routing/permit_stock.h"

#include <algorithm>

namespace kumquatcart {

void PermitStock::Add(const PermitOffer& offer,
                      Duration lifetime,
                      MonotonicTime now) {
  this->lifetime = lifetime;
  MonotonicTime at = now + offer.first_in;
  for (int i = 0; i < offer.count; ++i, at += offer.interval) {
    this->usable_at.push_back(at);
  }
  std::sort(this->usable_at.begin(), this->usable_at.end());
}

void PermitStock::DropExpired(MonotonicTime now) {
  while (!this->usable_at.empty() &&
         this->usable_at.front() + this->lifetime < now) {
    this->usable_at.pop_front();
  }
}

bool PermitStock::HasUsable(MonotonicTime now) {
  this->DropExpired(now);
  return !this->usable_at.empty() && this->usable_at.front() <= now;
}

bool PermitStock::TryTake(MonotonicTime now) {
  if (!this->HasUsable(now)) {
    return false;
  }
  this->usable_at.pop_front();
  return true;
}

std::optional<MonotonicTime> PermitStock::UsableAt(std::size_t ahead,
                                                   MonotonicTime now) {
  this->DropExpired(now);
  if (ahead >= this->usable_at.size()) {
    return std::nullopt;
  }
  return std::max(this->usable_at[ahead], now);
}

int PermitStock::Count(MonotonicTime now) {
  this->DropExpired(now);
  return static_cast<int>(this->usable_at.size());
}

}  // namespace kumquatcart
