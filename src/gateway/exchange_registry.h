// The exchanges with backend servers in progress.
#ifndef GATEWAY_EXCHANGE_REGISTRY_H_
#define GATEWAY_EXCHANGE_REGISTRY_H_

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace kumquatcart {

class UpstreamExchange;

// Lets a stopping gateway cancel what is still in progress. Thread safe; the
// mutex is a leaf in the lock order.
class ExchangeRegistry {
 public:
  void Add(const std::shared_ptr<UpstreamExchange>& exchange) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->exchanges.emplace(exchange.get(), exchange);
  }

  void Remove(const UpstreamExchange* exchange) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->exchanges.erase(exchange);
  }

  std::vector<std::shared_ptr<UpstreamExchange>> All() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::shared_ptr<UpstreamExchange>> all;
    for (const auto& [key, weak] : this->exchanges) {
      if (auto exchange = weak.lock()) {
        all.push_back(std::move(exchange));
      }
    }
    return all;
  }

 private:
  mutable std::mutex mutex;
  std::unordered_map<const UpstreamExchange*, std::weak_ptr<UpstreamExchange>>
      exchanges;
};

}  // namespace kumquatcart

#endif  // GATEWAY_EXCHANGE_REGISTRY_H_
