#include "control/load_budget.h"

#include <algorithm>
#include <set>

#include "base/contains.h"

namespace kumquatcart {

namespace {

// Time window in which loads are counted against the weight store's rate.
constexpr Duration kLoadWindow = std::chrono::seconds(5);

}  // namespace

int LoadBudget::CountSharers(LoadPurpose purpose) const {
  if (purpose == LoadPurpose::kStandby) {
    return this->parts->peers->CountLiveNodes(this->parts->loop->Now());
  }
  std::set<std::string> failure_domains;
  for (const auto& entry : this->parts->view->Servers()) {
    if (!entry.second.fabric_domain.empty()) {
      failure_domains.insert(entry.second.failure_domain);
    }
  }
  return static_cast<int>(failure_domains.size());
}

std::optional<double> LoadBudget::RateFor(const BackendServer& server,
                                          const std::string& model) const {
  const auto& services = this->parts->view->Config()->services;
  const auto service = services.find(server.service);
  if (service == services.end() || !service->second.engine ||
      server.loaded_model == model || Contains(server.staged_models, model) ||
      !this->parts->view->HasTraffic() ||
      service->second.engine->loads_per_second <= 0) {
    return std::nullopt;
  }
  return service->second.engine->loads_per_second;
}

bool LoadBudget::TryCount(const BackendServer& server,
                          const std::string& model,
                          LoadPurpose purpose) {
  const auto& services = this->parts->view->Config()->services;
  const auto service = services.find(server.service);
  if (service == services.end() || !service->second.engine) {
    return false;
  }
  const std::optional<double> rate = this->RateFor(server, model);
  if (!rate) {
    return true;
  }
  const MonotonicTime now = this->parts->loop->Now();
  while (!this->load_times.empty() &&
         now - this->load_times.front() > kLoadWindow) {
    this->load_times.pop_front();
  }
  const double allowed = *rate *
                         std::chrono::duration<double>(kLoadWindow).count() /
                         std::max(1, this->CountSharers(purpose));
  if (static_cast<double>(this->load_times.size()) + 1 >
      std::max(1.0, allowed)) {
    return false;
  }
  this->load_times.push_back(now);
  return true;
}

void LoadBudget::Refund(const BackendServer& server, const std::string& model) {
  if (this->RateFor(server, model) && !this->load_times.empty()) {
    this->load_times.pop_back();
  }
}

}  // namespace kumquatcart
