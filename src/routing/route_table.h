// Finds the route of a request.
#ifndef ROUTING_ROUTE_TABLE_H_
#define ROUTING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/routing_config.h"

namespace kumquatcart {

// Index of one version of the configuration. Immutable; thread safe.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const RoutingConfig> config);

  const RoutingConfig& Config() const { return *this->config; }

  // Of the routes of `host`, the one with the longest prefix that begins the
  // path of `target`; null where there is none. A query is not part of the
  // path.
  const RouteRule* Match(const std::string& host,
                         const std::string& target) const;

  // Who holds `key`; null where nobody does.
  const KeyHolder* FindHolder(const std::string& key) const;

  // The service that takes a share `draw` (0 up to 1) of the route's requests;
  // null where the route names none.
  static const ServiceShare* PickService(const RouteRule& route, double draw);

 private:
  const std::shared_ptr<const RoutingConfig> config;
  // Longest prefix first.
  std::unordered_map<std::string, std::vector<const RouteRule*>> by_host;
};

}  // namespace kumquatcart

#endif  // ROUTING_ROUTE_TABLE_H_
