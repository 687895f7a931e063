#include "control/model_shares.h"

#include <utility>

namespace kumquatcart {

double ServerDeficit(const ModelSpec& model, const ServersByModel& assigned) {
  int total = model.group_size;
  for (const auto& entry : assigned) {
    total += entry.second;
  }
  const auto own = assigned.find(model.name);
  return model.work_share * total - (own == assigned.end() ? 0 : own->second);
}

namespace {

// The model with the largest deficit of those whose groups have at most
// `available` members, or null.
const ModelSpec* ChooseModel(const std::vector<ModelSpec>& models,
                             const ServersByModel& assigned,
                             int available) {
  const ModelSpec* chosen = nullptr;
  for (const ModelSpec& model : models) {
    if (model.group_size <= available &&
        (chosen == nullptr ||
         ServerDeficit(model, assigned) > ServerDeficit(*chosen, assigned))) {
      chosen = &model;
    }
  }
  return chosen;
}

}  // namespace

ServersByModel ShareModels(const std::vector<ModelSpec>& models,
                           ServersByModel assigned,
                           const std::vector<FreeServers>& domains,
                           const std::string& fabric_domain) {
  for (const FreeServers& domain : domains) {
    ServersByModel wanted;
    int left = domain.count;
    while (const ModelSpec* model = ChooseModel(models, assigned, left)) {
      assigned[model->name] += model->group_size;
      wanted[model->name] += model->group_size;
      left -= model->group_size;
    }
    if (domain.fabric_domain == fabric_domain) {
      return wanted;
    }
  }
  return {};
}

}  // namespace kumquatcart
