#include "routing/region_rule.h"

#include <algorithm>

namespace kumquatcart {

namespace {

bool Contains(const std::vector<std::string>& allowed,
              const std::string& region) {
  return allowed.empty() ||
         std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

}  // namespace

RegionRule::RegionRule(const RouteRule& route,
                       const KeyHolder* holder,
                       const std::map<std::string, std::string>* regions)
    : of_route(route.regions), regions(regions) {
  if (holder != nullptr) {
    this->of_organisation = holder->regions;
  }
}

bool RegionRule::Allows(const std::string& failure_domain) const {
  if (!this->IsRestricted()) {
    return true;
  }
  const auto region = this->regions->find(failure_domain);
  return region != this->regions->end() &&
         Contains(this->of_route, region->second) &&
         Contains(this->of_organisation, region->second);
}

}  // namespace kumquatcart
