// Distributes models over failure domains that are too small for all of them.
#ifndef CONTROL_MODEL_SHARES_H_
#define CONTROL_MODEL_SHARES_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "model/routing_config.h"

namespace kumquatcart {

// A fabric domain and the number of its servers that new groups may use.
struct FreeServers {
  std::string fabric_domain;
  int count = 0;

  auto Tie() const { return std::tie(this->fabric_domain, this->count); }
};

// Servers in groups, or wanted for new groups, by model.
using ServersByModel = std::map<std::string, int>;

// Number of servers that `model` is short of its share of the work after one
// more group of it is formed. Thread safe.
double ServerDeficit(const ModelSpec& model, const ServersByModel& assigned);

// Returns the servers wanted for new groups of each model in `fabric_domain`.
// Fills the domains one after the other, so that some get the large groups and
// the others make up for the small ones. Every caller with the same arguments
// gets the same distribution, so that the planners of the failure domains need
// not coordinate. `assigned`: servers in existing groups of all domains. Thread
// safe.
ServersByModel ShareModels(const std::vector<ModelSpec>& models,
                           ServersByModel assigned,
                           const std::vector<FreeServers>& domains,
                           const std::string& fabric_domain);

}  // namespace kumquatcart

#endif  // CONTROL_MODEL_SHARES_H_
