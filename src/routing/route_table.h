// Lookup of the route of a request.
#ifndef ROUTING_ROUTE_TABLE_H_
#define ROUTING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/routing_config.h"

namespace kumquatcart {

// Index over one version of the routing configuration. Immutable and thread
// safe.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const RoutingConfig> config);

  const RoutingConfig& Config() const { return *this->config; }

  // Returns the route of `host` with the longest prefix of the path of
  // `target`, or null if none matches. The query string is not part of the
  // path. Precondition: `host` has the form that NormalizeHost() returns.
  const RouteRule* Match(const std::string& host,
                         const std::string& target) const;

  // Whether any route has the host, as NormalizeHost() returns it.
  bool HasHost(const std::string& host) const {
    return this->by_host.count(host) > 0;
  }

  // Returns the holder of the API key `key`, or null if the key is unknown.
  const KeyHolder* FindKeyHolder(const std::string& key) const;

  // Picks a service of the route in proportion to the weights. `draw` is a
  // random number from 0 to below 1. Returns null if the route has no services.
  static const ServiceShare* PickService(const RouteRule& route, double draw);

 private:
  const std::shared_ptr<const RoutingConfig> config;
  // Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<const RouteRule*>> by_host;
};

}  // namespace kumquatcart

#endif  // ROUTING_ROUTE_TABLE_H_
