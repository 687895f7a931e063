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
  // Returns false when the registry is closed: the exchange must not start.
  bool Add(const std::shared_ptr<UpstreamExchange>& exchange) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->closed) {
      return false;
    }
    this->exchanges.emplace(exchange.get(), exchange);
    return true;
  }

  void Remove(const UpstreamExchange* exchange) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->exchanges.erase(exchange);
  }

  // Lets no further exchange start. Returns those in progress.
  std::vector<std::shared_ptr<UpstreamExchange>> Close() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->closed = true;
    std::vector<std::shared_ptr<UpstreamExchange>> all;
    for (const auto& [key, weak] : this->exchanges) {
      if (auto exchange = weak.lock()) {
        all.push_back(std::move(exchange));
      }
    }
    return all;
  }

 private:
  std::mutex mutex;
  bool closed = false;
  std::unordered_map<const UpstreamExchange*, std::weak_ptr<UpstreamExchange>>
      exchanges;
};

}  // namespace kumquatcart

#endif  // GATEWAY_EXCHANGE_REGISTRY_H_
