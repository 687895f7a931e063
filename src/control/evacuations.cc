#include "control/evacuations.h"

#include <algorithm>

#include "base/logging.h"

namespace kumquatcart {

namespace {

constexpr std::size_t kMaxNameBytes = 255;

bool IsDomainName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(),
                     [](char byte) { return byte > ' ' && byte <= '~'; });
}

}  // namespace

bool Evacuations::Order(const std::string& failure_domain, MonotonicTime now) {
  if (this->IsEvacuated(failure_domain)) {
    return false;
  }
  if (!IsDomainName(failure_domain) || this->orders.size() >= kMaxOrders) {
    LogWarning("evacuation_ignored",
               {{"failure_domain", failure_domain.substr(0, kMaxNameBytes)},
                {"orders", this->orders.size()}});
    return false;
  }
  this->orders.emplace(failure_domain, now);
  LogInfo("evacuation_ordered", {{"failure_domain", failure_domain}});
  return true;
}

bool Evacuations::Lift(const std::string& failure_domain, MonotonicTime now) {
  const auto order = this->orders.find(failure_domain);
  if (order == this->orders.end()) {
    return false;
  }
  LogInfo("evacuation_lifted", {{"failure_domain", failure_domain},
                                {"ms", ToMillis(now - order->second)}});
  this->orders.erase(order);
  return true;
}

}  // namespace kumquatcart
