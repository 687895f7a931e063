// In which regions a request may run.
#ifndef ROUTING_REGION_RULE_H_
#define ROUTING_REGION_RULE_H_

#include <map>
#include <string>
#include <vector>

#include "model/routing_config.h"

namespace kumquatcart {

// Joins what the route and the caller's organisation allow: where both name
// regions, both bind. Thread safe.
class RegionRule {
 public:
  // `holder`: null for a request without a key. `regions`: of each failure
  // domain; must outlive this object.
  RegionRule(const RouteRule& route,
             const KeyHolder* holder,
             const std::map<std::string, std::string>* regions);

  // Whether some servers may be excluded.
  bool IsRestricted() const {
    return !this->of_route.empty() || !this->of_organisation.empty();
  }

  // Whether a server in `failure_domain` may run the request. A failure domain
  // whose region is not known is allowed without a restriction only.
  bool Allows(const std::string& failure_domain) const;

 private:
  std::vector<std::string> of_route;
  std::vector<std::string> of_organisation;
  const std::map<std::string, std::string>* regions;
};

}  // namespace kumquatcart

#endif  // ROUTING_REGION_RULE_H_
